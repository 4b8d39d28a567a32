package shelffront.consistency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import shelffront.consistency.ExecutedRequests.Execution;

/** Tests what is stored of executed requests, and that it is bounded in number and time. */
class ExecutedRequestsTest {

  private static final int MAX_REQUESTS = 3;
  private static final long RETENTION_MICROS = 100;

  private final ExecutedRequests requests = new ExecutedRequests(MAX_REQUESTS, RETENTION_MICROS);

  private static Execution sentAt(long atMicros) {
    return new Execution(atMicros, "key", 1, "zone");
  }

  @Test
  void keepsTheFirstExecutionOfARequest() {
    requests.record("a", sentAt(5), 10);
    requests.record("a", sentAt(20), 30);
    assertEquals(sentAt(5), requests.find("a", 130));
    assertNull(requests.find("b", 130));
  }

  @Test
  void dropsARequestAfterItsTime() {
    requests.record("a", sentAt(0), 0);
    assertEquals(sentAt(0), requests.find("a", RETENTION_MICROS));
    assertNull(requests.find("a", RETENTION_MICROS + 1));
    assertEquals(0, requests.size());
  }

  @Test
  void dropsTheOldestBeyondItsNumber() {
    for (String id : new String[] {"a", "b", "c"}) {
      requests.record(id, sentAt(0), 0);
    }
    requests.record("a", sentAt(1), 1);
    requests.record("d", sentAt(1), 1);
    assertEquals(MAX_REQUESTS, requests.size());
    assertNull(requests.find("b", 1));
    assertEquals(sentAt(0), requests.find("a", 1));
  }
}
