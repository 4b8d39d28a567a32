package review2;

import java.util.ArrayList;
import java.util.List;

/**
 * A drain in a fleet with sixteen times the database hosts. The new gateway's list is old, so
 * discovery begins its watch with the whole list; then a replica begins to drain.
 */
final class LargeList {

  private static final int CELL_SIZE = 5;
  private static final double GRACE_MILLIS = 2000 + 50;

  private LargeList() {}

  public static void main(String[] args) {
    Play.main(LargeList::run);
  }

  private static String run(Play play) throws Exception {
    int members = play.trouble ? 3200 : 200;
    Discovery discovery = play.add(new Discovery(play, 400, 400));
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < CELL_SIZE; i++) {
      hosts.add(play.add(new Host(play, id(i), i == 0, Host.working(15))));
      discovery.list(
          id(i), Discovery.entry(id(i), hosts.get(i).address(), 0, "Ready", i == 0));
    }
    // The members of the other groups get no request, and so no connection.
    for (int i = CELL_SIZE; i < members; i++) {
      String address = "127.77." + i / 250 + "." + (1 + i % 250) + ":5433";
      discovery.list(
          id(i),
          Discovery.entry(id(i), address, i / CELL_SIZE, "Ready", i % CELL_SIZE == 0));
    }
    String known = discovery.wholeList().replace("\"revision\":400", "\"revision\":7");
    play.note("case", members + " members, the whole list has " + known.length() + " bytes");
    Gateway gateway = play.add(new Gateway(play, "n0"));
    gateway.configure(discovery.address(), known, Lagos.settings(100));
    gateway.start(discovery.address());
    gateway.awaitReady();
    Load load =
        play.add(
            new Load(play, gateway, 10, 60,
                id -> Client.read(id, "map-read", 1200, 0, "7f3a9c21e0b4d655")));
    Play.sleep(4000);
    Host draining = hosts.get(3);
    int before = draining.attempts().size();
    if (before == 0) {
      throw new Play.CannotRun("the replica got no request before its drain");
    }
    play.note("client", "answers before the drain: " + load.answers());
    discovery.change(
        id(3), Discovery.entry(id(3), draining.address(), 0, "Terminating", false));
    double drainedAt = play.now();
    // Told when it is written, and 6 s after discovery had it at the latest.
    Play.sleep(15_000);
    load.close();
    play.note("client", "answers in all: " + load.answers());
    double bound = drainedAt + 6000 + GRACE_MILLIS;
    long late = draining.attempts().stream().filter(each -> each.atMillis() > bound).count();
    double last =
        draining.attempts().stream().mapToDouble(Host.Attempt::atMillis).max().orElse(0);
    for (Host host : hosts) {
      play.note(host.id, host.attempts().size() + " attempts");
    }
    play.note("gateway", "log: " + gateway.logLines("discovery").lines().limit(4).toList());
    if (!gateway.isAlive()) {
      throw new Play.CannotRun("the gateway " + gateway.state());
    }
    return late == 0
        ? null
        : String.format(
            "%s got %d attempts later than 8.05 s after discovery listed it as Terminating; the"
                + " last came %.1f s after",
            draining.id, late, (last - drainedAt) / 1000);
  }

  private static String id(int index) {
    return String.format("s-%08x", 0x5be20000 + index);
  }
}
