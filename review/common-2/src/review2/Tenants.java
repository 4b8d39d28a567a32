package review2;

import java.util.ArrayList;
import java.util.List;

/** Documents of tenants with the classes of lagos-main. */
final class Tenants {

  private Tenants() {}

  /** The boxes of a tenant as a list; the first one is the primary. */
  static String list(List<Host> hosts) {
    List<String> list = new ArrayList<>();
    for (int i = 0; i < hosts.size(); i++) {
      list.add("{\"id\":\"box-" + i + "\",\"address\":\"" + hosts.get(i).address()
          + "\",\"role\":\"" + (i == 0 ? "primary" : "replica") + "\"}");
    }
    return "\"list\":[" + String.join(",", list) + "]";
  }

  static String document(String tenant, String boxes) {
    return document(tenant, boxes, 5000);
  }

  /** A document with this grace for a removal. */
  static String document(String tenant, String boxes, int graceMillis) {
    return "{\"id\":\"" + tenant + "\",\"graceMs\":" + graceMillis + ",\"classes\":["
        + "{\"name\":\"map-read\",\"aimMs\":400,\"giveUpMs\":1200,\"read\":\"bounded\","
        + "\"boundMs\":500},"
        + "{\"name\":\"own-edit-read\",\"aimMs\":500,\"giveUpMs\":2000,\"read\":\"session\"},"
        + "{\"name\":\"map-write\",\"aimMs\":1200,\"giveUpMs\":3000,\"read\":\"write\","
        + "\"effect\":\"keyed\",\"windowMs\":2000}],"
        + "\"boxes\":{" + boxes + "}}";
  }
}
