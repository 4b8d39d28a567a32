package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import review.common.Client;
import review.common.Clock;
import review.common.Discovery;
import review.common.Gateway;
import review.common.Host;
import review.common.Sites;
import review.common.Test;

/**
 * Some good answers of database hosts bring a second copy directly behind. The hosts write it when
 * nothing else waits on the connection, on sockets with the system's defaults.
 */
public final class SecondCopyBehindAnswer {

  private static final int GROUPS = 2;
  private static final int MEMBERS = 4;
  private static final int CLIENTS = 8;
  private static final long THINK_MILLIS = 20;
  private static final double COPY_SHARE = 0.02;
  private static final long LENGTH_MICROS = 20_000_000;

  /** Without copies, until the gateway knows the primaries and its code is compiled. */
  private static final long QUIET_MICROS = 4_000_000;

  private final Test test;
  private final List<String> breaks = new CopyOnWriteArrayList<>();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger notServed = new AtomicInteger();

  private SecondCopyBehindAnswer(Test test) {
    this.test = test;
  }

  public static void main(String[] args) {
    Test.main(args, test -> new SecondCopyBehindAnswer(test).run());
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
                    (id, requestClass) -> 15,
                    test.record));
        host.noDelay = false;
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
    long startMicros = Clock.micros();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int group = i % GROUPS;
      Thread client = new Thread(() -> callUntil(gateway, group, startMicros + LENGTH_MICROS));
      client.start();
      clients.add(client);
    }
    Clock.sleepUntil(startMicros + QUIET_MICROS);
    if (test.trouble) {
      hosts.forEach(host -> host.copyShare = COPY_SHARE);
      test.record.line("from now on 2 of 100 good answers bring a second copy");
    }
    for (Thread client : clients) {
      client.join();
    }
    test.record.line("served %s, not served %s, foreign %d", served, notServed, breaks.size());
    System.out.printf("served %s, not served %s, foreign %d%n", served, notServed, breaks.size());
    return breaks.size() > 5 ? new ArrayList<>(breaks.subList(0, 5)) : new ArrayList<>(breaks);
  }

  private void callUntil(Gateway gateway, int group, long endMicros) {
    try (Client client = new Client(gateway.port)) {
      while (Clock.micros() < endMicros) {
        String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
        boolean write = ThreadLocalRandom.current().nextInt(5) == 0;
        test.record.line("client sends %s %s", write ? "map-write" : "map-read", id);
        Client.Answer answer =
            client.call(
                write
                    ? "/* id=" + id + ",c=map-write,d=3000,k=" + id + ",cluster=" + group
                        + " */ INSERT INTO rows (handle, blob) VALUES ('" + id
                        + "', '\\x9f03') RETURNING blob"
                    : "/* id=" + id + ",c=map-read,d=1200,cluster=" + group
                        + " */ SELECT blob FROM rows WHERE handle = '" + id + "'");
        judge(id, write, answer);
        Thread.sleep(THINK_MILLIS);
      }
    } catch (IOException | InterruptedException ended) {
      test.record.line("a client's connection ends: %s", ended);
    }
  }

  /** A value names the host that made it and the request for which it was made. */
  private void judge(String id, boolean write, Client.Answer answer) {
    test.record.at(answer.micros(), "client gets %s: %s %s", id, answer.kind(), answer.value());
    if (!answer.kind().equals("served")) {
      notServed.incrementAndGet();
      return;
    }
    served.incrementAndGet();
    if (!answer.value().endsWith("/" + id)) {
      breaks.add(
          String.format(
              "foreign: %s %s was served with %s, made for another request",
              write ? "map-write" : "map-read", id, answer.value()));
    }
  }
}
