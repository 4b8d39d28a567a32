package review2;

import java.util.ArrayList;
import java.util.List;

/**
 * New configurations in quick succession while discovery is slow; each names another address of
 * discovery. A replica begins to drain between the first two.
 */
final class ReloadRow {

  private static final double CALL_WAITS_MILLIS = 1800;
  private static final double INTERVAL_MILLIS = 1500;
  private static final int CONFIGURATIONS = 7;
  private static final double GRACE_MILLIS = 2000 + 50;

  private ReloadRow() {}

  public static void main(String[] args) {
    Play.main(ReloadRow::run);
  }

  private static String run(Play play) throws Exception {
    Discovery discovery = play.add(new Discovery(play, 41, 0));
    discovery.waitMillis = CALL_WAITS_MILLIS;
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      hosts.add(play.add(new Host(play, "s-" + i, i == 0, Host.working(15))));
      discovery.list(
          "s-" + i, Discovery.entry("s-" + i, hosts.get(i).address(), 2, "Ready", i == 0));
    }
    Gateway gateway = play.add(new Gateway(play, "n0"));
    String known = discovery.wholeList();
    gateway.configure(discovery.address(), known, Lagos.settings(4));
    gateway.start(discovery.address());
    gateway.awaitReady();
    Load load =
        play.add(
            new Load(play, gateway, 10, 60,
                id -> Client.read(id, "map-read", 1200, 2, "7f3a9c21e0b4d655")));
    Play.sleep(4000); // the watch is open by now
    Host draining = hosts.get(3);
    if (draining.attempts().isEmpty()) {
      throw new Play.CannotRun("the replica got no request before its drain");
    }
    double begin = play.now();
    double drainedAt = 0;
    for (int i = 0; i < CONFIGURATIONS; i++) {
      play.sleepUntil(begin + i * INTERVAL_MILLIS);
      if (play.trouble) {
        discovery.move();
        gateway.configure(discovery.address(), known, Lagos.settings(4));
        gateway.signal("HUP");
      }
      if (i == 0) {
        Play.sleep(300);
        discovery.change(
            "s-3", Discovery.entry("s-3", draining.address(), 2, "Terminating", false));
        drainedAt = play.now();
      }
    }
    play.sleepUntil(begin + CONFIGURATIONS * INTERVAL_MILLIS + 6000);
    load.close();
    play.note("client", "answers in all: " + load.answers());
    double bound = drainedAt + 6000 + GRACE_MILLIS;
    long late = draining.attempts().stream().filter(each -> each.atMillis() > bound).count();
    double last =
        draining.attempts().stream().mapToDouble(Host.Attempt::atMillis).max().orElse(0);
    for (Host host : hosts) {
      play.note(host.id, host.attempts().size() + " attempts");
    }
    play.note("s-3",
        String.format("last attempt %.2f s after discovery had its drain",
            (last - drainedAt) / 1000));
    return late == 0
        ? null
        : String.format(
            "s-3 got %d attempts later than 8.05 s after discovery listed it as Terminating; the"
                + " last came %.1f s after",
            late, (last - drainedAt) / 1000);
  }
}
