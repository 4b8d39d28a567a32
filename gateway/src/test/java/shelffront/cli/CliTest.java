package shelffront.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shelffront.multitenant.MultiTenantConfig;
import shelffront.store.DocumentStore;
import shelffront.store.DocumentStore.Kind;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

class CliTest {

  @TempDir private Path folder;

  private MultiTenantConfig read(String text) throws Exception {
    Path file = folder.resolve("c.jsonnet");
    Files.writeString(file, text);
    return MultiTenantConfig.read(JsonnetTemplates.evaluate(file));
  }

  @Test
  void sampleConfigurationsAreValid() throws Exception {
    MultiTenantConfig config =
        MultiTenantConfig.read(JsonnetTemplates.evaluate(Path.of("../deploy/shelffront.jsonnet")));
    assertEquals(1, config.tenants().size());
    assertEquals(0, Cli.run("config", "check", "../deploy/shelffront.jsonnet"));
    assertEquals(0, Cli.run("config", "check", "../deploy/fleet.jsonnet"));
    assertEquals(0, Cli.run("config", "check", "../deploy/distribution.jsonnet"));
  }

  @Test
  void importOfExportCreatesTheTenantsInAnotherStore() throws Exception {
    Path document = folder.resolve("export.json");
    Path copy = folder.resolve("copy.store");
    try (DocumentStore store = DocumentStore.inMemory()) {
      store.put(
          Kind.TENANT,
          "a",
          0,
          TenantSpecCodec.parse(
              ("{\"id\":\"a\",\"boxes\":{\"list\":[]},\"classes\":"
                      + "[{\"name\":\"r\",\"giveUpMs\":10,\"read\":\"any\"}]}")
                  .getBytes()),
          "x",
          "create",
          1);
      Files.writeString(document, store.export().toString());
    }
    assertEquals(0, Cli.run("store", "import", copy.toString(), document.toString()));
    try (DocumentStore store = DocumentStore.open(copy)) {
      assertEquals("a", store.get(Kind.TENANT, "a").document().path("id").asText());
    }
    Files.writeString(
        document, Files.readString(document).replace("\"giveUpMs\":10", "\"giveUpMs\":-1"));
    assertEquals(
        1,
        Cli.run("store", "import", copy.toString(), document.toString()),
        "an export with an invalid tenant spec must be rejected");
  }

  /** The error of an invalid configuration has the JSON pointer of the invalid value. */
  @Test
  void invalidConfigurationIsRejectedWithThePointerOfTheField() throws Exception {
    String tenant =
        "{id: 'a', classes: [{name: 'r', giveUpMs: 10, read: 'any'}], boxes: {list: []}}";
    Map<String, String> pointersOfInvalidFiles =
        Map.ofEntries(
            Map.entry("{listen: '127.0.0.1:70000'}", "/listen"),
            Map.entry("{listen: 'localhost:1'}", "/listen"),
            Map.entry("{}", "/listen"),
            Map.entry("{listen: '127.0.0.1:1', tenant: []}", "/tenant"),
            Map.entry("{listen: '127.0.0.1:1', sockets: 'many'}", "/sockets"),
            Map.entry(
                "{listen: '127.0.0.1:1', capacity: {openRequests: 0}}", "/capacity/openRequests"),
            Map.entry("{listen: '127.0.0.1:1', store: 5}", "/store"),
            Map.entry(
                "{listen: '127.0.0.1:1', tenants: [" + tenant + " + {weight: 0}]}",
                "/tenants/0/weight"),
            Map.entry(
                "{listen: '127.0.0.1:1', tenants: [" + tenant + "," + tenant + "]}",
                "/tenants/1/id"),
            Map.entry(
                "{listen: '127.0.0.1:1', tenants: ["
                    + tenant
                    + " + {classes: [{name: 'r', giveUpMs: 10, aimMs: 20, read: 'any'}]}]}",
                "/tenants/0/classes/0/aimMs"),
            Map.entry(
                "{listen: '127.0.0.1:1', tenants: ["
                    + tenant
                    + " + {classes: [{name: 'w', giveUpMs: 10, read: 'write', effect:"
                    + " 'repeatable'}]}]}",
                "/tenants/0/classes/0/effect"),
            Map.entry(
                "{listen: '127.0.0.1:1', tenants: ["
                    + tenant
                    + " + {boxes: {list: [{id: 'x', address: '300.0.0.1:99999'}]}}]}",
                "/tenants/0/boxes/list/0/address"));
    for (Map.Entry<String, String> each : pointersOfInvalidFiles.entrySet()) {
      SpecException rejection =
          assertThrows(SpecException.class, () -> read(each.getKey()), each.getKey());
      assertEquals(
          each.getValue(), rejection.pointer(), each.getKey() + ": " + rejection.getMessage());
    }
    SpecException truncated = assertThrows(SpecException.class, () -> read("{listen: "));
    assertTrue(truncated.getMessage().contains("c.jsonnet"), truncated.getMessage());
    assertEquals(1, Cli.run("config", "check", folder.resolve("none").toString()));
    assertEquals(2, Cli.run("config", "check"));
  }
}
