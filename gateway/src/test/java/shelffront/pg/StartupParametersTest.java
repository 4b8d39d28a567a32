package shelffront.pg;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Tests what is read of a startup message, and that its size does not decide what is kept. */
class StartupParametersTest {

  private static StartupParameters read(String parameters) throws ProtocolException {
    return StartupParameters.read(
        new Message('\0', ("\0\3\0\0" + parameters).getBytes(ISO_8859_1)));
  }

  @Test
  void readsUserAndDatabaseAndSkipsAllOthers() throws ProtocolException {
    assertEquals(
        new StartupParameters("api", "ledger"),
        read("application_name\0x\0user\0api\0a\0\0database\0ledger\0b\0c\0\0"));
  }

  @Test
  void databaseDefaultsToTheUser() throws ProtocolException {
    assertEquals(new StartupParameters("api", "api"), read("user\0api\0\0"));
    assertEquals(new StartupParameters("api", ""), read("user\0api\0database\0\0\0"));
    assertEquals(StartupParameters.NONE, read("\0"));
  }

  @Test
  void firstValueOfARepeatedNameCounts() throws ProtocolException {
    assertEquals(new StartupParameters("a", "b"), read("user\0a\0database\0b\0user\0c\0\0"));
  }

  @Test
  void anUnterminatedTextEndsWithTheBody() throws ProtocolException {
    assertEquals(new StartupParameters("api", "api"), read("user\0api"));
    assertEquals(new StartupParameters("", ""), read("user"));
  }

  /** Guards against names that fill the memory of a connection. */
  @Test
  void rejectsNamesThatAreTooLong() {
    String tooLong = "n".repeat(StartupParameters.MAX_NAME_BYTES + 1);
    assertThrows(ProtocolException.class, () -> read("user\0" + tooLong + "\0\0"));
    assertThrows(ProtocolException.class, () -> read("database\0" + tooLong + "\0\0"));
  }
}
