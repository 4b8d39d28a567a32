package shelffront.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.Test;

/**
 * An endpoint change must be known 6 s after discovery has it and is reachable, whatever failed
 * before. A failed call ends within 2.5 s of simulated time, the next one starts within 0.9 s, and
 * its response may take 2.5 s: 5.9 s in total.
 */
public class DiscoveryRecoveryTest {

  private static final String WATCH_REQUEST =
      "w < \"GET /catalog/members?watch=1&from=41 HTTP/1.1\\r\\nHost: $d"
          + "\\r\\nAccept: application/json\\r\\n\\r\\n\"";
  private static final String RESPONSE_HEADERS =
      "\"HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n\"";

  /** Faults of a discovery call that has been received and has no response yet, as steps. */
  private static final Map<String, List<String>> FAULTS =
      new TreeMap<>(
          Map.of(
              "silent", List.of("clock 2500", "log reason=silent"),
              "hung under its headers",
                  List.of(
                      "w > \"HTTP/1.1 200 OK\\r\\nTransfer-\"", "clock 2500", "log reason=silent"),
              "trickles",
                  List.of(
                      "w > " + RESPONSE_HEADERS,
                      "clock 800",
                      "w > \"1\\r\\n{\\r\\n1\"",
                      "clock 800",
                      "w > \"\\r\\n\"",
                      "clock 900",
                      "log reason=silent"),
              "503",
                  List.of(
                      "w > \"HTTP/1.1 503 Busy\\r\\nContent-Length: 90\\r\\n\\r\\n\"",
                      "log status=503 reason=answered"),
              "reset", List.of("w resets", "log reason=peer-reset"),
              "garbage", List.of("w > \"SSH-2.0-x\\r\\n\"", "log reason=bad-answer"),
              "half a list",
                  List.of(
                      "w > "
                          + RESPONSE_HEADERS
                          + " [\"{`revision`:42,`complete`:true,`members`:[\"]",
                      "clock 1",
                      "w closes",
                      "log reason=peer-closed"),
              "garbled list",
                  List.of(
                      "w > " + RESPONSE_HEADERS + " [\"{`revision`:42,`members`:[{`id`:1}]}\\n\"]",
                      "log reason=bad-answer"),
              "down",
                  List.of(
                      "unlisten d",
                      "w resets",
                      "log reason=peer-reset",
                      "clock 900",
                      "log reason=connect-failed",
                      "again d")));

  private static List<String> steps(String mode, List<String> faults) {
    List<String> lines =
        new ArrayList<>(
            List.of(
                "set \"ask\" \"" + mode + "\"",
                "include start",
                "w resets",
                "log end discovery watch"));
    for (String fault : faults) {
      lines.addAll(List.of("clock 900", "w from d", WATCH_REQUEST));
      lines.addAll(FAULTS.get(fault));
    }
    lines.addAll(
        List.of(
            "clock 900",
            "w from d",
            WATCH_REQUEST,
            "w > "
                + RESPONSE_HEADERS
                + " [\"{`revision`:42,`complete`:false,"
                + "`members`:[{`id`:`m2`,`host_port`:`$m2`,`phase`:`Gone`}]}\\n"
                + "\"]",
            "h2 closed",
            "log end host m2 reason=left-list"));
    return lines;
  }

  private static void assertChangeArrivesInTime(String mode) throws Exception {
    for (String repeated : FAULTS.keySet()) {
      for (String last : FAULTS.keySet()) {
        try (RecordedExchangeRunner runner = new RecordedExchangeRunner()) {
          runner.replay(
              mode + ", four times " + repeated + ", then " + last,
              steps(mode, List.of(repeated, repeated, repeated, repeated, last)));
        }
      }
    }
  }

  @Test
  public void fetchedChangeArrivesInTimeAfterFaults() throws Exception {
    assertChangeArrivesInTime("ask");
  }

  @Test
  public void pushedChangeArrivesInTimeAfterFaults() throws Exception {
    assertChangeArrivesInTime("push");
  }
}
