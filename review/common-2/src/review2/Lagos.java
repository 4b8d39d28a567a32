package review2;

/** Settings like those of lagos-main: lists are asked for, roles are listed late, hosts wait. */
final class Lagos {

  private Lagos() {}

  /** The settings of a fleet with this number of gateways. */
  static String settings(int gateways) {
    return "{\"balancers\":" + gateways + ",\"selfIndex\":0,\"zone\":\"ikeja-room\","
        + "\"zones\":[\"ikeja-room\"],\"period\":5000,\"categories\":["
        + category("map-read", 400, 1200, 2, 0, "repeatable", "all", 5000) + ","
        + category("own-edit-read", 500, 2000, 3, 0, "repeatable", "all", 5000) + ","
        + category("live-read", 500, 1500, 1, 0, "repeatable", "all", 5000) + ","
        + category("map-write", 1200, 3000, 6, 0.7, "by_key", "cell", 2000) + "],"
        + "\"familyInfo\":{\"answersStamped\":false,\"checks\":\"wait\","
        + "\"classRead\":[\"bounded\",\"session\",\"fresh\",\"write\"],"
        + "\"oldestData\":[500000,0,0,0],\"patience\":100000,\"roleInList\":\"late\","
        + "\"sessionMarks\":\"remembered\",\"sync\":true,\"zero\":0},"
        + "\"guarantees\":{\"answerSlack\":20000,\"askWithin\":10000000,\"cold\":18000000,"
        + "\"coldFrom\":0.21,\"drainGrace\":2000000,\"fall\":2000000,\"fallMultiple\":4.0},"
        + "\"limits\":{\"connIdle\":30000000,\"connectTimeout\":250000,\"cpuUsPerS\":80000,"
        + "\"maxAttempts\":8,\"maxRetryAfter\":2000000,\"maxStreams\":8,\"mayCancel\":true,"
        + "\"mayDuplicate\":false,\"mayProbe\":true,\"mayTell\":false,\"openCap\":20000,"
        + "\"retryAfter\":true},\"loadInfo\":{\"fields\":[\"x0\",\"x1\",\"backlog\"],"
        + "\"source\":\"pull\"},\"membershipMode\":\"ask\","
        + "\"tariffs\":{\"crossZone\":0.0,\"probe\":0.01}}";
  }

  private static String category(
      String name, int aim, int limit, int points, double late, String effect, String group,
      int window) {
    return "{\"name\":\"" + name + "\",\"aim\":" + aim + "000,\"hardLimit\":" + limit
        + "000,\"points\":" + points + ",\"lateShare\":" + late + ",\"effect\":\"" + effect
        + "\",\"group\":\"" + group + "\",\"dedupWindow\":" + window + "000,\"stream\":false}";
  }
}
