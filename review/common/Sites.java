package review.common;

/** Settings within the ranges of the two deployments. */
public final class Sites {

  private Sites() {}

  private static String category(
      String name, long aimMillis, long deadlineMillis, double points, double late, String effect) {
    return "{\"name\":\"" + name + "\",\"aim\":" + aimMillis * 1000 + ",\"hardLimit\":"
        + deadlineMillis * 1000 + ",\"points\":" + points + ",\"lateShare\":" + late
        + ",\"effect\":\"" + effect + "\",\"group\":\"" + (effect.equals("by_key") ? "cell" : "all")
        + "\",\"dedupWindow\":2000000,\"stream\":false}";
  }

  /** The deployment lagos-main: the list is asked for, and hosts check how far behind they are. */
  public static String lagosMain(int index) {
    return "{\"balancers\":3,\"selfIndex\":" + index + ",\"zone\":\"ikeja-room\",\"zones\":[\"ikeja-room\"],"
        + "\"period\":5000,\"family\":\"replicas\",\"tier\":0,\"tiers\":[\"map-db\"],\"categories\":["
        + category("map-read", 400, 1200, 2, 0, "repeatable") + ","
        + category("own-edit-read", 500, 2000, 3, 0, "repeatable") + ","
        + category("live-read", 500, 1500, 1, 0, "repeatable") + ","
        + category("map-write", 1200, 3000, 6, 0.7, "by_key")
        + "],\"clientHabits\":{\"marksRetry\":true},\"familyInfo\":{\"answersStamped\":false,"
        + "\"checks\":\"wait\",\"classRead\":[\"bounded\",\"session\",\"fresh\",\"write\"],"
        + "\"oldestData\":[500000,0,0,0],\"patience\":100000,\"roleInList\":\"late\","
        + "\"sessionMarks\":\"remembered\",\"sync\":true,\"zero\":0},\"guarantees\":{"
        + "\"answerSlack\":20000,\"askWithin\":10000000,\"cold\":18000000,\"coldFrom\":0.21,"
        + "\"drainGrace\":2000000,\"fall\":2000000,\"fallMultiple\":4.0},\"limits\":{"
        + "\"connIdle\":30000000,\"connectTimeout\":250000,\"maxAttempts\":8,"
        + "\"maxRetryAfter\":2000000,\"mayCancel\":true,\"mayDuplicate\":false,\"mayProbe\":true,"
        + "\"mayTell\":false,\"openCap\":2000,\"retryAfter\":true,\"maxStreams\":8},\"loadInfo\":{"
        + "\"fields\":[\"x0\",\"x1\",\"backlog\"],\"source\":\"pull\"},\"membershipMode\":\"ask\","
        + "\"orgs\":[],\"tariffs\":{\"crossZone\":0.0,\"probe\":0.01,\"waste\":0.16},"
        + "\"valueBy\":\"request\",\"weights\":\"silent\"}";
  }

  /** The deployment zone-db-dk: the list is pushed, and hosts answer reads from what they have. */
  public static String zoneDbDk(int index) {
    return "{\"balancers\":3,\"selfIndex\":" + index + ",\"zone\":\"ballerup\",\"zones\":[\"ballerup\","
        + "\"taastrup\",\"glostrup\"],\"period\":5000,\"family\":\"replicas\",\"tier\":0,"
        + "\"tiers\":[\"zonedb\"],\"categories\":["
        + category("address-check", 800, 2000, 1, 0, "repeatable") + ","
        + category("own-zone-view", 750, 3000, 1, 0.2, "repeatable") + ","
        + category("fee-lookup", 800, 2500, 2, 0.2, "repeatable") + ","
        + category("zone-change", 1000, 3000, 3, 0.7, "once")
        + "],\"clientHabits\":{\"marksRetry\":true},\"familyInfo\":{\"answersStamped\":true,"
        + "\"checks\":\"silent\",\"classRead\":[\"bounded\",\"session\",\"any\",\"write\"],"
        + "\"oldestData\":[500000,0,0,0],\"roleInList\":\"start\",\"sessionMarks\":\"carried\","
        + "\"sync\":true,\"zero\":0},\"guarantees\":{\"answerSlack\":20000,\"cold\":5200000,"
        + "\"coldFrom\":0.41,\"drainGrace\":2000000,\"fall\":1000000,\"fallMultiple\":3.0},"
        + "\"limits\":{\"connIdle\":15000000,\"connectTimeout\":250000,\"maxAttempts\":10,"
        + "\"maxRetryAfter\":500000,\"mayCancel\":true,\"mayDuplicate\":true,\"mayProbe\":true,"
        + "\"mayTell\":false,\"openCap\":2000,\"retryAfter\":false,\"maxStreams\":1},\"loadInfo\":{"
        + "\"fields\":[\"x0\",\"x1\",\"outstanding\"],\"source\":\"piggyback\"},"
        + "\"membershipMode\":\"push\",\"orgs\":[{\"name\":\"pizzanord\",\"share\":0.53,"
        + "\"quotaPerS\":50},{\"name\":\"grillhuset-fyn\",\"share\":0.26,\"quotaPerS\":25},"
        + "{\"name\":\"sushi-aarhus\",\"share\":0.21,\"quotaPerS\":20}],\"overShareWorth\":0.2,"
        + "\"tariffs\":{\"crossZone\":0.03,\"probe\":0.069,\"waste\":0.16},"
        + "\"valueBy\":\"request\",\"weights\":\"nominal\"}";
  }
}
