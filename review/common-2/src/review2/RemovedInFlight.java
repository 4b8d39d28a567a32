package review2;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A tenant is removed while each of its five clients has twenty requests in flight, of which the
 * first takes longer than the grace that the tenant's document sets for a removal.
 */
final class RemovedInFlight {

  private static final int CLIENTS = 5;
  private static final int REQUESTS = 20;

  /** The time that the class allows; it is enough for all of them. */
  private static final int CLIENT_WAITS_MILLIS = 2000;

  private static final double FIRST_WORK_MILLIS = 600;
  private static final int GRACE_MILLIS = 200;
  private static final double WORK_MILLIS = 5;

  private RemovedInFlight() {}

  public static void main(String[] args) {
    Play.main(RemovedInFlight::run);
  }

  private static String run(Play play) throws Exception {
    Set<String> firstIds = Collections.synchronizedSet(new HashSet<>());
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      hosts.add(
          play.add(
              new Host(play, "s-" + i, i == 0, (host, attempt, statement, out) -> {
                boolean isFirst = firstIds.contains(attempt.id());
                Play.sleep(isFirst ? FIRST_WORK_MILLIS : WORK_MILLIS);
                out.write(host.served(statement, new byte[] {1, 2, 3}));
              })));
    }
    Hosted gateway = play.add(new Hosted(play));
    gateway.start(Tenants.document("airport", Tenants.list(hosts), GRACE_MILLIS));
    Client first = play.add(new Client(play, gateway, "airport"));
    if (!first.call(read(Client.newId())).kind().equals("served")) {
      throw new Play.CannotRun("the tenant does not serve before its removal");
    }
    first.close();

    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(play.add(new Client(play, gateway, "airport")));
    }
    Map<String, Integer> answers = Collections.synchronizedMap(new TreeMap<>());
    List<String> unanswered = Collections.synchronizedList(new ArrayList<>());
    List<Thread> readers = new ArrayList<>();
    for (Client client : clients) {
      List<String> ids = new ArrayList<>();
      byte[][] commands = new byte[REQUESTS][];
      for (int i = 0; i < REQUESTS; i++) {
        ids.add(Client.newId());
        commands[i] = Pg.query(read(ids.get(i)));
      }
      firstIds.add(ids.get(0));
      client.out.write(Host.join(commands));
      Thread reader = new Thread(() -> readAnswers(play, client, ids, answers, unanswered));
      reader.start();
      readers.add(reader);
    }
    play.note("clients", CLIENTS + " clients have sent " + REQUESTS + " requests each");
    Play.sleep(50);
    if (play.trouble) {
      gateway.remove("airport");
    }
    for (Thread reader : readers) {
      reader.join();
    }
    Set<String> ran = new HashSet<>();
    hosts.forEach(host -> host.attempts().forEach(attempt -> ran.add(attempt.id())));
    play.note("case", answers + "; " + unanswered.size() + " of " + CLIENTS * REQUESTS
        + " got no answer, " + unanswered.stream().filter(ran::contains).count()
        + " of these had reached a box");
    return unanswered.isEmpty()
        ? null
        : unanswered.size() + " of " + CLIENTS * REQUESTS + " requests in flight got no answer";
  }

  private static void readAnswers(
      Play play,
      Client client,
      List<String> ids,
      Map<String, Integer> answers,
      List<String> unanswered) {
    int answered = 0;
    while (answered < ids.size()) {
      Client.Answer answer = client.answer();
      if (Set.of("ended", "reset", "nothing").contains(answer.kind())) {
        play.note("client", answered + " of " + ids.size() + " answered, then " + answer);
        unanswered.addAll(ids.subList(answered, ids.size()));
        return;
      }
      answers.merge((answer.kind() + " " + answer.code()).strip(), 1, Integer::sum);
      answered++;
    }
    play.note("client", "all " + ids.size() + " answered");
  }

  private static String read(String id) {
    return Client.read(id, "own-edit-read", CLIENT_WAITS_MILLIS, 0, "7f3a9c21e0b4d655");
  }
}
