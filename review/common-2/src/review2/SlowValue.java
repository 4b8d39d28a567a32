package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A long value, which the database host writes in pieces over a second. */
final class SlowValue {

  private static final int VALUE_BYTES = 300_000;
  private static final int PIECES = 10;
  private static final double LASTS_MILLIS = 1000;

  private SlowValue() {}

  public static void main(String[] args) {
    Play.main(SlowValue::run);
  }

  private static String run(Play play) throws Exception {
    Discovery discovery = play.add(new Discovery(play, 41, 0));
    List<String> cut = new ArrayList<>();
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      hosts.add(
          play.add(
              new Host(play, "s-" + i, i == 0, (host, attempt, statement, out) -> {
                Play.sleep(50);
                byte[] answer = host.served(statement, new byte[VALUE_BYTES]);
                int pieces = play.trouble ? PIECES : 1;
                int sent = 0;
                try {
                  for (int piece = 1; piece <= pieces; piece++) {
                    int end = (int) ((long) answer.length * piece / pieces);
                    out.write(answer, sent, end - sent);
                    sent = end;
                    if (piece < pieces) {
                      Play.sleep(LASTS_MILLIS / (pieces - 1));
                    }
                  }
                  play.note(host.id, attempt.id() + " was written whole");
                } catch (IOException e) {
                  play.note(host.id, attempt.id() + " was cut off after " + sent + " bytes");
                  synchronized (cut) {
                    cut.add(attempt.id());
                  }
                  throw e;
                }
              })));
      discovery.list(
          "s-" + i, Discovery.entry("s-" + i, hosts.get(i).address(), 2, "Ready", i == 0));
    }
    Gateway gateway = play.add(new Gateway(play, "n0"));
    gateway.configure(discovery.address(), discovery.wholeList(), Lagos.settings(4));
    gateway.start(discovery.address());
    gateway.awaitReady();
    Play.sleep(1000);
    int lost = 0;
    for (int i = 0; i < 5; i++) {
      Client client = play.add(new Client(play, gateway));
      String id = Client.newId();
      double sentAt = play.now();
      Client.Answer answer =
          client.call(Client.read(id, "own-edit-read", 2000, 2, "7f3a9c21e0b4d655"));
      play.note("client",
          String.format("%s after %.0f ms: %s", id, answer.atMillis() - sentAt, answer));
      lost += answer.kind().equals("served") && answer.valueBytes() == VALUE_BYTES ? 0 : 1;
      client.close();
    }
    for (Host host : hosts) {
      host.attempts().forEach(each -> play.note(host.id, "attempt of " + each.id()));
    }
    return lost == 0
        ? null
        : lost + " of 5 requests were lost: " + cut.size() + " answers were cut off under way";
  }
}
