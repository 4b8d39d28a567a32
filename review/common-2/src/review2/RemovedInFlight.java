package review2;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A tenant is removed while a client has three hundred requests in flight, sent one behind the other. */
final class RemovedInFlight {

  private static final int REQUESTS = 300;

  /** The time that the class allows; it is enough for all of them. */
  private static final int CLIENT_WAITS_MILLIS = 2000;

  private static final double FIRST_WORK_MILLIS = 250;
  private static final double WORK_MILLIS = 1;

  private RemovedInFlight() {}

  public static void main(String[] args) {
    Play.main(RemovedInFlight::run);
  }

  private static String run(Play play) throws Exception {
    String firstId = Client.newId();
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      hosts.add(
          play.add(
              new Host(play, "s-" + i, i == 0, (host, attempt, statement, out) -> {
                boolean isFirst = attempt.id().equals(firstId);
                Play.sleep(isFirst ? FIRST_WORK_MILLIS : WORK_MILLIS);
                out.write(host.served(statement, new byte[] {1, 2, 3}));
              })));
    }
    Hosted gateway = play.add(new Hosted(play));
    gateway.start(Tenants.document("airport", Tenants.list(hosts)));
    Client first = play.add(new Client(play, gateway, "airport"));
    if (!first.call(read(Client.newId())).kind().equals("served")) {
      throw new Play.CannotRun("the tenant does not serve before its removal");
    }

    Client client = play.add(new Client(play, gateway, "airport"));
    byte[][] commands = new byte[REQUESTS][];
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      ids.add(i == 0 ? firstId : Client.newId());
      commands[i] = Pg.query(read(ids.get(i)));
    }
    byte[] all = Host.join(commands);
    client.out.write(all);
    play.note("client", "has sent " + REQUESTS + " requests, " + all.length + " bytes in all");
    Play.sleep(100);
    if (play.trouble) {
      gateway.remove("airport");
    }
    Map<String, Integer> answers = new TreeMap<>();
    int answered = 0;
    while (answered < REQUESTS) {
      Client.Answer answer = client.answer();
      if (!answer.kind().equals("served")) {
        play.note("client", ids.get(answered) + ": " + answer);
      }
      if (Set.of("ended", "reset", "nothing").contains(answer.kind())) {
        break;
      }
      answers.merge(answer.kind() + " " + answer.code(), 1, Integer::sum);
      answered++;
    }
    Set<String> ran = new HashSet<>();
    hosts.forEach(host -> host.attempts().forEach(attempt -> ran.add(attempt.id())));
    play.note("case", answers + ", " + answered + " of " + REQUESTS + " answered; "
        + ids.stream().filter(ran::contains).count() + " of them reached a box");
    return answered == REQUESTS
        ? null
        : REQUESTS - answered + " of " + REQUESTS + " requests in flight got no answer";
  }

  private static String read(String id) {
    return Client.read(id, "own-edit-read", CLIENT_WAITS_MILLIS, 0, "7f3a9c21e0b4d655");
  }
}
