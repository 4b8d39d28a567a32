package review2;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A client sends much at once and goes: writes with values of 64 KiB, one behind the other. */
final class ClientLeft {

  private static final int WRITES = 6;
  private static final int VALUE_BYTES = 64 * 1024;
  private static final double WORK_MILLIS = 600;
  private static final double BOUND_MILLIS = 100 + 50;

  private ClientLeft() {}

  public static void main(String[] args) {
    Play.main(ClientLeft::run);
  }

  private static String run(Play play) throws Exception {
    Discovery discovery = play.add(new Discovery(play, 41, 0));
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      hosts.add(play.add(new Host(play, "s-" + i, i == 0, Host.working(WORK_MILLIS))));
      discovery.list(
          "s-" + i, Discovery.entry("s-" + i, hosts.get(i).address(), 2, "Ready", i == 0));
    }
    Gateway gateway = play.add(new Gateway(play, "n0"));
    gateway.configure(discovery.address(), discovery.wholeList(), Lagos.settings(4));
    gateway.start(discovery.address());
    gateway.awaitReady();
    Play.sleep(1000);

    Client client = play.add(new Client(play, gateway));
    Set<String> ids = new HashSet<>();
    byte[][] commands = new byte[WRITES][];
    for (int i = 0; i < WRITES; i++) {
      String id = Client.newId();
      ids.add(id);
      commands[i] =
          Pg.query(Client.write(id, 3000, 2, "7f3a9c21e0b4d655", new byte[VALUE_BYTES]));
    }
    byte[] all = Host.join(commands);
    client.out.write(all);
    play.note("client", "has sent " + WRITES + " writes at once, " + all.length + " bytes");
    double closedAt = Double.MAX_VALUE;
    if (play.trouble) {
      Play.sleep(100);
      client.close();
      closedAt = play.now();
      play.note("client", "has closed its connection");
      Play.sleep(WRITES * WORK_MILLIS + 2000);
    } else {
      for (int i = 0; i < WRITES; i++) {
        play.note("client", "answer " + i + ": " + client.answer());
      }
    }
    long late = 0;
    for (Host host : hosts) {
      for (Host.Attempt attempt : host.attempts()) {
        boolean isLate = attempt.atMillis() > closedAt + BOUND_MILLIS;
        late += ids.contains(attempt.id()) && isLate ? 1 : 0;
        play.note(
            host.id,
            String.format("attempt of %s at %.1f ms%s", attempt.id(), attempt.atMillis(),
                isLate ? String.format(", %.0f ms after the close", attempt.atMillis() - closedAt)
                    : ""));
      }
    }
    return late == 0
        ? null
        : late + " attempts began more than 0.15 s after their client had closed its connection";
  }
}
