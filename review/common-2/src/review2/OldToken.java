package review2;

import java.util.ArrayList;
import java.util.List;

/**
 * A tenant is removed, and a tenant of the same name is created for another customer. The
 * administrator of the first one still has the token of that time.
 */
final class OldToken {

  private OldToken() {}

  public static void main(String[] args) {
    Play.main(OldToken::run);
  }

  private static String run(Play play) throws Exception {
    List<Host> first = hosts(play, "first");
    List<Host> second = hosts(play, "second");
    Hosted gateway = play.add(new Hosted(play));
    gateway.start(Tenants.document("airport", Tenants.list(first)));
    String token = gateway.createToken("airport");
    Hosted.Answer own = gateway.call(token, "GET", "tenants/airport/boxes", null, null);
    if (own.status() != 200) {
      throw new Play.CannotRun("the administrator of airport does not see its own boxes");
    }
    String next = play.trouble ? "airport" : "airport-two";
    gateway.remove("airport");
    Play.sleep(8000); // the grace of a removal is 5 s
    gateway.create(Tenants.document(next, Tenants.list(second)));
    Play.sleep(1000);
    Client client = play.add(new Client(play, gateway, next));
    String read = Client.read(Client.newId(), "map-read", 1200, 0, "7f3a9c21e0b4d655");
    play.note("client", "the new tenant's read: " + client.call(read));

    Hosted.Answer seen =
        gateway.call(token, "GET", "tenants/" + next + "/boxes", null, null);
    play.note("admin", "sees " + seen.body());
    Hosted.Answer drained =
        gateway.call(token, "POST", "tenants/" + next + "/boxes/box-1/drain", null, null);
    play.note("admin", "drained: " + drained.body());
    boolean sees = seen.status() == 200 && seen.body().contains(second.get(1).address());
    return !sees && drained.status() != 200
        ? null
        : "the administrator of the removed tenant saw the boxes of the other customer's tenant"
            + " (status " + seen.status() + ") and drained one (status " + drained.status() + ")";
  }

  private static List<Host> hosts(Play play, String name) throws Exception {
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      hosts.add(play.add(new Host(play, name + "-" + i, i == 0, Host.working(10))));
    }
    return hosts;
  }
}
