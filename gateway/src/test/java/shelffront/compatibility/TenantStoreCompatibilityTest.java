package shelffront.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shelffront.admin.AdminTokens;
import shelffront.store.DocumentStore;
import shelffront.store.DocumentStore.AuditEntry;
import shelffront.store.DocumentStore.Entry;
import shelffront.store.DocumentStore.Kind;

/** Reads the document store of tenants and tokens that version 0.2.0 wrote. */
class TenantStoreCompatibilityTest {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int TORN_BYTES = 700;

  private static final String OPERATOR = "80190f590d2b1487";
  private static final String OPERATOR_SECRET = "pBJh7JGdaGqPxQ9lncaIHaYSv7fnBjVjVs7-vOZw2PA";
  private static final String AIRPORT = "df13a3493c2c1b7b";
  private static final String AIRPORT_FIRST_SECRET = "cizObSrAIfLtL3BI_3qFdeu1uwj3YxjVqmjS_lF_1uw";
  private static final String AIRPORT_SECRET = "voe52qG-P5PSbctpG-LSrUn30tCIv4uJSaT63WjH1vA";
  private static final String STATION = "5d47687a94cd5f2a";
  private static final String STATION_SECRET = "gWNzCalYT7q-k3_RcYgf-GaWOg4i18-v8kP3Uqif6Mg";
  private static final long FIRST_SECRET_ENDS = 1_700_003_607_000L;

  private static final List<AuditEntry> AUDITS =
      List.of(
          new AuditEntry(
              1, 0, 1_700_000_000_000L, "first start", "create token", Kind.TOKEN, OPERATOR),
          new AuditEntry(2, 0, 1_700_000_001_000L, "operator", "create", Kind.TENANT, "airport"),
          new AuditEntry(3, 0, 1_700_000_002_000L, "operator", "create", Kind.TENANT, "harbour"),
          new AuditEntry(4, 0, 1_700_000_003_000L, "operator", "create", Kind.TENANT, "station"),
          new AuditEntry(5, 0, 1_700_000_004_000L, "operator", "create token", Kind.TOKEN, AIRPORT),
          new AuditEntry(6, 2, 1_700_000_005_000L, "operator", "change", Kind.TENANT, "airport"),
          new AuditEntry(7, 3, 1_700_000_006_000L, "operator", "remove", Kind.TENANT, "harbour"),
          new AuditEntry(8, 5, 1_700_000_007_000L, "operator", "rotate token", Kind.TOKEN, AIRPORT),
          new AuditEntry(9, 0, 1_700_000_008_000L, "operator", "create token", Kind.TOKEN, STATION),
          new AuditEntry(
              10, 9, 1_700_000_009_000L, "operator", "revoke token", Kind.TOKEN, STATION),
          new AuditEntry(11, 4, 1_700_000_010_000L, "operator", "change", Kind.TENANT, "station"));

  @TempDir private Path directory;

  private static JsonNode tenant(String id, int weight) throws IOException {
    return JSON.readTree(
        "{\"id\":\""
            + id
            + "\",\"weight\":"
            + weight
            + ",\"classes\":[{\"name\":\"read\",\"giveUpMs\":1200,\"read\":\"any\"}],"
            + "\"boxes\":{\"discovery\":\"127.0.0.1:8500\"}}");
  }

  private static List<Entry> tokens() throws IOException {
    JsonNode operator =
        JSON.readTree(
            "{\"tenant\":null,\"hashes\":[{\"sha256\":"
                + "\"85cbb8c0592a62653606474c47245af0cfe07e38cf27c4e18543e522409723ed\"}]}");
    JsonNode airport =
        JSON.readTree(
            "{\"tenant\":\"airport\",\"hashes\":[{\"sha256\":"
                + "\"02b58bb95dbb20a50ec22154be6a9fce5d87ec2062dc5191804e2fdee15e2dc8\"},"
                + "{\"sha256\":"
                + "\"8979f93a4f6044895765af1c428c43dd18dd3537a66bc2f863301408fb1affba\","
                + "\"until\":1700003607000}]}");
    return List.of(new Entry(OPERATOR, 1, operator), new Entry(AIRPORT, 8, airport));
  }

  /** Checks the state before the last change, at which a file with a torn write opens. */
  private static void assertStateAtRevisionTen(DocumentStore store) throws IOException {
    assertEquals(10, store.revision());
    assertEquals(
        List.of(
            new Entry("airport", 6, tenant("airport", 3)),
            new Entry("station", 4, tenant("station", 1))),
        store.all(Kind.TENANT));
    assertEquals(tokens(), store.all(Kind.TOKEN));
    assertEquals(AUDITS.subList(0, 10), store.auditEntries(0, 100));
  }

  @Test
  void readsTenantsWithTheirRevisions() throws Exception {
    try (DocumentStore store =
        DocumentStore.open(StoredResource.copy("tenants.store", directory))) {
      assertEquals(11, store.revision());
      assertEquals(
          List.of(
              new Entry("airport", 6, tenant("airport", 3)),
              new Entry("station", 11, tenant("station", 5))),
          store.all(Kind.TENANT));
      assertNull(store.get(Kind.TENANT, "harbour"), "it was removed");
    }
  }

  @Test
  void readsTokenHashes() throws Exception {
    try (DocumentStore store =
        DocumentStore.open(StoredResource.copy("tenants.store", directory))) {
      assertEquals(tokens(), store.all(Kind.TOKEN));
      assertNull(store.get(Kind.TOKEN, STATION), "it was revoked");
    }
  }

  @Test
  void acceptsTokensThatWereIssued() throws Exception {
    try (DocumentStore store =
        DocumentStore.open(StoredResource.copy("tenants.store", directory))) {
      long[] clock = {FIRST_SECRET_ENDS - 1};
      AdminTokens tokens = new AdminTokens(store, () -> clock[0]);
      assertEquals(
          new AdminTokens.Caller(OPERATOR, null),
          tokens.authenticate(OPERATOR + "." + OPERATOR_SECRET));
      AdminTokens.Caller airport = new AdminTokens.Caller(AIRPORT, "airport");
      assertEquals(airport, tokens.authenticate(AIRPORT + "." + AIRPORT_SECRET));
      assertEquals(airport, tokens.authenticate(AIRPORT + "." + AIRPORT_FIRST_SECRET));
      clock[0] = FIRST_SECRET_ENDS;
      assertEquals(airport, tokens.authenticate(AIRPORT + "." + AIRPORT_SECRET));
      assertNull(
          tokens.authenticate(AIRPORT + "." + AIRPORT_FIRST_SECRET), "its overlap has ended");
      assertNull(tokens.authenticate(OPERATOR + "." + AIRPORT_SECRET), "the secret of another");
      assertNull(tokens.authenticate(STATION + "." + STATION_SECRET), "it was revoked");
    }
  }

  @Test
  void readsAuditLog() throws Exception {
    try (DocumentStore store =
        DocumentStore.open(StoredResource.copy("tenants.store", directory))) {
      assertEquals(AUDITS, store.auditEntries(0, 100));
      assertEquals(AUDITS.subList(6, 9), store.auditEntries(6, 3));
    }
  }

  @Test
  void continuesTheRevisionsAndKeepsThemOnDisk() throws Exception {
    Path file = StoredResource.copy("tenants.store", directory);
    try (DocumentStore store = DocumentStore.open(file)) {
      long revision =
          store.put(Kind.TENANT, "airport", 6, tenant("airport", 9), "tester", "change", 5);
      assertEquals(12, revision);
    }
    try (DocumentStore store = DocumentStore.open(file)) {
      assertEquals(
          List.of(
              new Entry("airport", 12, tenant("airport", 9)),
              new Entry("station", 11, tenant("station", 5))),
          store.all(Kind.TENANT));
      assertEquals(AUDITS, store.auditEntries(0, 11));
      assertEquals(
          List.of(new AuditEntry(12, 6, 5, "tester", "change", Kind.TENANT, "airport")),
          store.auditEntries(11, 100));
    }
  }

  @Test
  void readsTenantStoreWithTornTail() throws Exception {
    try (DocumentStore store =
        DocumentStore.open(StoredResource.copy("tenants-torn.store", directory))) {
      assertStateAtRevisionTen(store);
    }
  }

  @Test
  void readsTenantStoreWhoseLastBytesWereNotWritten() throws Exception {
    Path file = StoredResource.copy("tenants.store", directory);
    byte[] bytes = Files.readAllBytes(file);
    Arrays.fill(bytes, bytes.length - TORN_BYTES, bytes.length, (byte) 0);
    Files.write(file, bytes);
    try (DocumentStore store = DocumentStore.open(file)) {
      assertStateAtRevisionTen(store);
    }
  }

  @Test
  void continuesTenantStoreWithTornTail() throws Exception {
    Path file = StoredResource.copy("tenants-torn.store", directory);
    try (DocumentStore store = DocumentStore.open(file)) {
      assertEquals(
          11, store.put(Kind.TENANT, "station", 4, tenant("station", 8), "tester", "change", 5));
    }
    try (DocumentStore store = DocumentStore.open(file)) {
      assertEquals(
          new Entry("station", 11, tenant("station", 8)), store.get(Kind.TENANT, "station"));
      assertEquals(AUDITS.subList(0, 10), store.auditEntries(0, 10));
      assertEquals(
          List.of(new AuditEntry(11, 4, 5, "tester", "change", Kind.TENANT, "station")),
          store.auditEntries(10, 100));
    }
  }

  @Test
  void importsExport() throws Exception {
    JsonNode exported =
        JSON.readTree(StoredResource.copy("tenants-export.json", directory).toFile());
    try (DocumentStore store = DocumentStore.inMemory()) {
      assertEquals(4, store.importAll(exported, "tester", 7));
      assertEquals(
          List.of(
              new Entry("airport", 1, tenant("airport", 3)),
              new Entry("station", 2, tenant("station", 5))),
          store.all(Kind.TENANT));
      List<Entry> expected = tokens();
      assertEquals(
          List.of(
              new Entry(OPERATOR, 3, expected.get(0).document()),
              new Entry(AIRPORT, 4, expected.get(1).document())),
          store.all(Kind.TOKEN));
    }
  }

  @Test
  void exportsTheSameDocument() throws Exception {
    JsonNode exported =
        JSON.readTree(StoredResource.copy("tenants-export.json", directory).toFile());
    try (DocumentStore store =
        DocumentStore.open(StoredResource.copy("tenants.store", directory))) {
      assertEquals(exported, JSON.readTree(store.export().toString()));
    }
  }
}
