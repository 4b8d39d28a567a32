package shelffront.lab.scale;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import shelffront.tenant.TenantSpecCodec;

/**
 * Generates the tenants of a scaled fleet: their names, the gateways that serve them, and documents
 * that contain the time at which they were written.
 */
final class SyntheticTenants {

  /** Hosts of each tenant: a primary and its replicas. */
  static final int HOSTS_PER_TENANT = 5;

  /** A tenant that every gateway serves, so that some changes affect the whole fleet. */
  static final String COMMON = "common";

  private static final Pattern WRITTEN_AT = Pattern.compile("\"w([0-9]+)\"");

  private SyntheticTenants() {}

  static String tenantId(int number) {
    return "t" + number;
  }

  /** Record names that a gateway serves: the common tenant and others drawn by its number. */
  static List<String> servedNames(int gateway, int tenants, int count, long seed) {
    SplittableRandom random = new SplittableRandom(seed * 1_000_003 + gateway);
    List<String> names = new ArrayList<>(List.of("tenant/" + COMMON));
    while (names.size() <= Math.min(count, tenants)) {
      String name = "tenant/" + tenantId(random.nextInt(tenants));
      if (!names.contains(name)) {
        names.add(name);
      }
    }
    return names;
  }

  /** A tenant document whose primary has an ID that contains the write time in microseconds. */
  static ObjectNode document(String id, long writtenAt) {
    ObjectNode tenant = TenantSpecCodec.JSON.createObjectNode().put("id", id);
    ArrayNode classes = tenant.putArray("classes");
    classes.addObject().put("name", "read").put("giveUpMs", 1000).put("read", "session");
    classes
        .addObject()
        .put("name", "write")
        .put("giveUpMs", 2000)
        .put("read", "write")
        .put("effect", "keyed")
        .put("windowMs", 2000);
    ArrayNode list = tenant.putObject("boxes").putArray("list");
    list.addObject()
        .put("id", "w" + writtenAt)
        .put("address", "127.0.0.1:9")
        .put("group", 1)
        .put("role", "primary");
    for (int i = 1; i < HOSTS_PER_TENANT; i++) {
      list.addObject()
          .put("id", id + "-" + i)
          .put("address", "127.0.0.1:9")
          .put("group", 1)
          .put("role", "replica");
    }
    return tenant;
  }

  /** The write time in a document, in microseconds; 0 if it has none. */
  static long writtenAtMicros(String document) {
    Matcher matcher = WRITTEN_AT.matcher(document);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
  }

  /** Time in microseconds on the monotonic clock that all processes of a machine share. */
  static long nowMicros() {
    return System.nanoTime() / 1000;
  }
}
