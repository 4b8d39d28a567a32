package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * An administrator gives a tenant another discovery service, which lists other boxes. The versions of
 * its list are counted by itself; it writes its whole list on each new watch.
 */
final class MovedDiscovery {

  private static final double GRACE_MILLIS = 2000 + 50;

  private MovedDiscovery() {}

  public static void main(String[] args) {
    Play.main(MovedDiscovery::run);
  }

  private static String run(Play play) throws Exception {
    List<Host> old = new ArrayList<>();
    List<Host> current = new ArrayList<>();
    Discovery first = play.add(new Discovery(play, 41, 41));
    // Without the trouble the second service has counted further than the first.
    Discovery second = play.add(new Discovery(play, play.trouble ? 12 : 90, 1_000_000));
    for (int i = 0; i < 3; i++) {
      old.add(play.add(new Host(play, "old-" + i, i == 0, Host.working(10))));
      current.add(play.add(new Host(play, "new-" + i, i == 0, Host.working(10))));
      first.list("old-" + i,
          Discovery.entry("old-" + i, old.get(i).address(), 0, "Ready", i == 0));
      second.list("new-" + i,
          Discovery.entry("new-" + i, current.get(i).address(), 0, "Ready", i == 0));
    }
    Hosted gateway = play.add(new Hosted(play));
    gateway.start(document(first));
    Load load =
        play.add(
            new Load(play, gateway, 4, 50, "airport",
                id -> Client.read(id, "map-read", 1200, 0, "7f3a9c21e0b4d655")));
    Play.sleep(3000);
    if (old.get(1).attempts().isEmpty()) {
      throw new Play.CannotRun("the tenant does not serve before the change");
    }
    gateway.put("airport", document(second));
    double changedAt = play.now();
    Play.sleep(45_000);
    load.close();
    play.note("client", "answers: " + load.answers());
    double bound = changedAt + 6000 + GRACE_MILLIS;
    long late = 0;
    double last = 0;
    for (Host host : old) {
      for (Host.Attempt attempt : host.attempts()) {
        late += attempt.atMillis() > bound ? 1 : 0;
        last = Math.max(last, attempt.atMillis());
      }
      play.note(host.id, host.attempts().size() + " attempts");
    }
    current.forEach(host -> play.note(host.id, host.attempts().size() + " attempts"));
    gateway.log().lines().filter(line -> line.contains("discovery"))
        .limit(10).forEach(line -> play.note("gateway", line));
    return late == 0
        ? null
        : String.format(Locale.ROOT,
            "boxes that the new list does not name got %d attempts later than 8.05 s after the"
                + " change; the last came %.1f s after",
            late, (last - changedAt) / 1000);
  }

  private static String document(Discovery discovery) {
    return Tenants.document("airport", "\"discovery\":\"" + discovery.address() + "\"");
  }
}
