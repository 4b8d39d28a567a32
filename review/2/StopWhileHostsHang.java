package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import review.common.Client;
import review.common.Clock;
import review.common.Discovery;
import review.common.Gateway;
import review.common.Host;
import review.common.Sites;
import review.common.Test;

/**
 * A gateway is told to end (SIGTERM) while a quarter of the database hosts hang. Clients send on the
 * connections that stay open. SIGKILL comes once the longest deadline and 0.7 s have passed.
 */
public final class StopWhileHostsHang {

  private static final int GROUPS = 2;
  private static final int MEMBERS = 4;

  /** Clients that send their next request as soon as they have the answer to the one before. */
  private static final int CLIENTS_ONE_BY_ONE = 14;

  /** Clients that send their next request while the one before is open. */
  private static final int CLIENTS_AHEAD = 6;

  private static final long DEADLINE_MILLIS = 3000;

  /** On sockets every time limit is 50 ms longer. */
  private static final long SLACK_MICROS = 50_000;

  private static final long KILL_AFTER_MICROS = (DEADLINE_MILLIS + 700) * 1000 + SLACK_MICROS;
  private static final long LATE_ARRIVAL_MICROS = 700_000 + SLACK_MICROS;
  private static final long SECOND_SENT_AFTER_MICROS = 2_500_000;

  private record Sent(String id, long micros, boolean ahead) {}

  /** A client's connection and the two requests that it sends on it after the warm-up. */
  private record Pair(Client client, int group, String first, String second, boolean ahead) {}

  private final Test test;
  private final Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
  private final Map<String, Long> endedWithout = new ConcurrentHashMap<>();
  private final List<Sent> sent = new CopyOnWriteArrayList<>();

  private StopWhileHostsHang(Test test) {
    this.test = test;
  }

  public static void main(String[] args) {
    Test.main(args, test -> new StopWhileHostsHang(test).run());
  }

  private String newId() {
    return String.format("%016x", ThreadLocalRandom.current().nextLong());
  }

  private static String write(String id, int group) {
    return "/* id=" + id + ",c=map-write,d=" + DEADLINE_MILLIS + ",k=" + id + ",cluster=" + group
        + " */ INSERT INTO rows (handle, blob) VALUES ('" + id + "', '\\x9f03') RETURNING blob";
  }

  private static String read(String id, int group) {
    return "/* id=" + id + ",c=map-read,d=1200,cluster=" + group
        + " */ SELECT blob FROM rows WHERE handle = '" + id + "'";
  }

  private void send(Pair pair, String id) throws IOException {
    pair.client.send(write(id, pair.group));
    long micros = Clock.micros();
    sent.add(new Sent(id, micros, pair.ahead));
    test.record.at(
        micros,
        "client sends map-write %s, group %d%s",
        id,
        pair.group,
        pair.ahead && id.equals(pair.second) ? ", behind an open request" : "");
  }

  /** Reads the answers of a connection in order until it ends. */
  private void receive(Pair pair) {
    String id = pair.first;
    try {
      receive(pair.client, id);
      id = pair.second;
      if (!pair.ahead) {
        send(pair, id);
      }
      receive(pair.client, id);
    } catch (IOException ended) {
      endedWithout.put(id, Clock.micros());
      endedWithout.put(pair.second, Clock.micros());
      test.record.line("client's connection ends without an answer to %s", id);
    }
  }

  private void receive(Client client, String id) throws IOException {
    Client.Answer answer = client.receive();
    answers.put(id, answer);
    test.record.at(answer.micros(), "client gets %s: %s %s", id, answer.kind(), answer.value());
  }

  private List<String> run() throws Exception {
    Discovery discovery = test.ends(new Discovery(test.record));
    List<Host> hosts = new ArrayList<>();
    for (int group = 0; group < GROUPS; group++) {
      for (int member = 0; member < MEMBERS; member++) {
        Host host =
            test.ends(
                new Host(
                    "s-" + group + member,
                    group,
                    member == 0,
                    Set.of("map-write"),
                    (id, requestClass) -> 20,
                    test.record));
        hosts.add(host);
        discovery.add(
            new Discovery.Entry(
                host.id, host.port, "ikeja-room", "std-4core", group, "Ready", 0, host.primary));
      }
    }
    Gateway gateway =
        test.ends(
            new Gateway(
                test.root, test.folder, "n0", discovery.port, Sites.lagosMain(0), discovery.list()));
    warmUp(gateway);

    List<Pair> pairs = new ArrayList<>();
    for (int i = 0; i < CLIENTS_AHEAD + CLIENTS_ONE_BY_ONE; i++) {
      Client client = test.ends(new Client(gateway.port));
      client.call(write(newId(), i % GROUPS));
      pairs.add(new Pair(client, i % GROUPS, newId(), newId(), i < CLIENTS_AHEAD));
    }
    if (test.trouble) {
      for (Host host : hosts) {
        host.hung = host.primary;
      }
      test.record.line("the primaries, a quarter of the database hosts, hang");
    }
    List<Thread> readers = new ArrayList<>();
    for (Pair pair : pairs) {
      send(pair, pair.first);
      Thread reader = new Thread(() -> receive(pair));
      reader.setDaemon(true);
      reader.start();
      readers.add(reader);
    }
    long stopMicros = Clock.micros();
    if (test.trouble) {
      gateway.signal("TERM");
      test.record.at(stopMicros, "SIGTERM");
    }
    Clock.sleepUntil(stopMicros + SECOND_SENT_AFTER_MICROS);
    for (Pair pair : pairs) {
      if (pair.ahead && !endedWithout.containsKey(pair.second)) {
        try {
          send(pair, pair.second);
        } catch (IOException ended) {
          test.record.line("a client finds its connection ended and sends nothing on it");
        }
      }
    }
    long killMicros = stopMicros + KILL_AFTER_MICROS;
    Clock.sleepUntil(killMicros);
    if (test.trouble) {
      boolean alive = gateway.isAlive();
      gateway.signal("KILL");
      test.record.line("SIGKILL, the gateway was %s", alive ? "still running" : "already gone");
    }
    for (Thread reader : readers) {
      reader.join(4000);
    }
    return breaks(stopMicros, killMicros);
  }

  private void warmUp(Gateway gateway) throws IOException, InterruptedException {
    try (Client client = new Client(gateway.port)) {
      for (int i = 0; i < 200; i++) {
        String id = newId();
        client.call(i % 4 == 0 ? write(id, i / 4 % GROUPS) : read(id, i % GROUPS));
      }
    }
  }

  /**
   * A request is lost if nothing has answered it when SIGKILL comes and it arrived more than 0.7 s
   * after SIGTERM, or if its time and half a second more have passed. One that crossed the end of
   * its connection, before SIGKILL, does not count: its client sends it elsewhere.
   */
  private List<String> breaks(long stopMicros, long killMicros) {
    List<String> breaks = new ArrayList<>();
    for (Sent each : sent) {
      if (answers.containsKey(each.id)) {
        continue;
      }
      Long ended = endedWithout.get(each.id);
      boolean crossed = ended != null && ended < killMicros;
      boolean late = each.micros > stopMicros + LATE_ARRIVAL_MICROS;
      boolean overdue =
          each.micros + (DEADLINE_MILLIS + 500) * 1000 + SLACK_MICROS
              < (test.trouble ? killMicros : Clock.micros());
      if (!crossed && (late || overdue)) {
        breaks.add(
            String.format(
                "lost: %s arrived %.2f s after SIGTERM %s and was never answered",
                each.id,
                (each.micros - stopMicros) / 1e6,
                each.ahead ? "behind an open request" : "on an open connection"));
      }
    }
    return breaks;
  }
}
