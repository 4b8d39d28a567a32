package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The boxes of tenant airport get new addresses, and their old addresses are given to the boxes of
 * tenant harbour. An administrator tells the gateway both. Tenant airport has had no client for half
 * a minute at that time; then a client of it comes back.
 */
final class SleepingTenant {

  private static final double QUIET_MILLIS = 33_000;
  private static final double GRACE_MILLIS = 2000 + 50;
  private static final int BOXES = 3;

  private SleepingTenant() {}

  public static void main(String[] args) {
    Play.main(SleepingTenant::run);
  }

  private static String run(Play play) throws Exception {
    List<Host> before = new ArrayList<>();
    for (int i = 0; i < BOXES; i++) {
      before.add(play.add(new Host(play, "airport-" + i, i == 0, Host.working(10))));
    }
    Hosted gateway = play.add(new Hosted(play));
    gateway.start(document("airport", before));

    Client first = play.add(new Client(play, gateway, "airport"));
    if (!call(play, first, true).kind().equals("served")) {
      throw new Play.CannotRun("the tenant does not serve before the change");
    }
    call(play, first, false);
    if (play.trouble) {
      first.close();
      play.note("client", "has closed the tenant's last connection");
      Play.sleep(QUIET_MILLIS);
    } else {
      // A client that keeps its connection in use.
      for (int i = 0; i < 6; i++) {
        Play.sleep(QUIET_MILLIS / 6);
        call(play, first, false);
      }
    }

    List<Host> airport = new ArrayList<>();
    List<Host> harbour = new ArrayList<>();
    for (int i = 0; i < BOXES; i++) {
      int port = before.get(i).port();
      airport.add(play.add(new Host(play, "airport-" + i, i == 0, Host.working(10))));
      harbour.add(play.add(before.get(i).giveAddressTo("harbour-" + i)));
      play.note("platform", "airport-" + i + " moved from port " + port + " to "
          + airport.get(i).port() + "; harbour-" + i + " took port " + port);
    }
    gateway.put("airport", document("airport", airport));
    double changedAt = play.now();
    gateway.create(document("harbour", harbour));
    play.sleepUntil(changedAt + GRACE_MILLIS + 500);

    Client second = play.add(new Client(play, gateway, "airport"));
    int served = 0;
    for (int i = 0; i < 10; i++) {
      served += call(play, second, i % 2 == 0).kind().equals("served") ? 1 : 0;
      Play.sleep(50);
    }
    int foreign = 0;
    for (Host host : harbour) {
      for (Host.Attempt attempt : host.attempts()) {
        foreign++;
        play.note(host.id, attempt.requestClass() + " " + attempt.id() + ", a client of airport's");
      }
    }
    for (Host host : airport) {
      play.note(host.id, host.attempts().size() + " attempts at the new address");
    }
    play.note("case", served + " of 10 requests of airport were served after the change");
    if (!gateway.isAlive()) {
      throw new Play.CannotRun("the gateway has ended");
    }
    return foreign == 0
        ? null
        : String.format(
            Locale.ROOT,
            "%d requests of tenant airport ran on boxes of tenant harbour, %d were answered as"
                + " served; the change had been accepted 2.5 s before the first",
            foreign, served);
  }

  private static Client.Answer call(Play play, Client client, boolean write) throws Exception {
    String id = Client.newId();
    Client.Answer answer =
        client.call(
            write
                ? Client.write(id, 3000, 0, "7f3a9c21e0b4d655", new byte[] {1, 2, 3})
                : Client.read(id, "map-read", 1200, 0, "7f3a9c21e0b4d655"));
    play.note("client", (write ? "write " : "read ") + id + ": " + answer);
    return answer;
  }

  private static String document(String tenant, List<Host> hosts) {
    return Tenants.document(tenant, Tenants.list(hosts));
  }
}
