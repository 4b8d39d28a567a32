package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
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
  private static final int CLIENTS = 10;
  private static final long THINK_MILLIS = 20;
  private static final double COPY_SHARE = 0.05;
  private static final double REFUSE_SHARE = 0.03;
  private static final double WRITE_SHARE = 0.3;
  private static final String[] ZONES = {"ballerup", "taastrup", "glostrup"};
  private static final int SHOWN = 5;
  private static final long LENGTH_MICROS = 20_000_000;

  /** Without copies, until the gateway knows the primaries and its code is compiled. */
  private static final long QUIET_MICROS = 4_000_000;

  private final Test test;
  private final List<String> breaks = new CopyOnWriteArrayList<>();
  private final Set<String> writes = ConcurrentHashMap.newKeySet();
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
                    Set.of("zone-change"),
                    (id, requestClass) -> 15,
                    test.record));
        host.noDelay = false;
        host.stamped = true;
        host.refuseShare = REFUSE_SHARE;
        hosts.add(host);
        discovery.add(
            new Discovery.Entry(
                host.id, host.port, ZONES[member % 3], "std-3core", group, "Ready", 0, host.primary));
      }
    }
    Gateway gateway =
        test.ends(
            new Gateway(
                test.root, test.folder, "n0", discovery.port, Sites.zoneDbDk(0), discovery.list()));
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
      test.record.line("from now on 5 of 100 good answers bring a second copy");
    }
    for (Thread client : clients) {
      client.join();
    }
    int foreign = breaks.size();
    List<String> twice = ranTwice(hosts);
    String counts =
        String.format(
            "served %s, not served %s, foreign %d; writes run %d, run twice or more %d",
            served, notServed, foreign, writesRun(hosts), twice.size());
    test.record.line("%s", counts);
    System.out.println(counts);
    List<String> shown = new ArrayList<>(twice.subList(0, Math.min(SHOWN, twice.size())));
    shown.addAll(breaks.subList(0, Math.min(SHOWN, foreign)));
    return shown;
  }

  private long writesRun(List<Host> hosts) {
    return hosts.stream().flatMap(host -> host.executed.stream()).filter(writes::contains).distinct().count();
  }

  private List<String> ranTwice(List<Host> hosts) {
    Map<String, Long> times =
        hosts.stream()
            .flatMap(host -> host.executed.stream())
            .filter(writes::contains)
            .collect(Collectors.groupingBy(id -> id, TreeMap::new, Collectors.counting()));
    return times.entrySet().stream()
        .filter(entry -> entry.getValue() > 1)
        .map(entry -> "duplicate: zone-change " + entry.getKey() + " ran " + entry.getValue() + " times")
        .collect(Collectors.toList());
  }

  private void callUntil(Gateway gateway, int group, long endMicros) {
    try (Client client = new Client(gateway.port)) {
      while (Clock.micros() < endMicros) {
        String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
        boolean write = ThreadLocalRandom.current().nextDouble() < WRITE_SHARE;
        test.record.line("client sends %s %s", write ? "zone-change" : "fee-lookup", id);
        if (write) {
          writes.add(id);
        }
        Client.Answer answer =
            client.call(
                write
                    ? "/* id=" + id + ",c=zone-change,t=pizzanord,d=3000,cluster=" + group
                        + " */ INSERT INTO rows (handle, blob) VALUES ('" + id
                        + "', '\\x9f03') RETURNING blob"
                    : "/* id=" + id + ",c=fee-lookup,t=pizzanord,d=2500,cluster=" + group
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
              write ? "zone-change" : "fee-lookup", id, answer.value()));
    }
  }
}
