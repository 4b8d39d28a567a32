package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import review.common.Client;
import review.common.Clock;
import review.common.Discovery;
import review.common.Gateway;
import review.common.Host;
import review.common.Sites;
import review.common.Test;

/**
 * A primary is restarted: it drains, hands over, answers what it held as a replica, ends and comes
 * back as a replica. The host that took over hangs meanwhile. The list shows the role as it was at
 * the start of the day.
 */
public final class FormerPrimaryReturns {

  private static final int GATEWAYS = 3;

  /** Reads of each group at each gateway. */
  private static final int[] READS_PER_SECOND = {12, 20};

  private static final long BOUND_MICROS = 500_000;

  /** On sockets every time limit is 50 ms longer, and what an answer tells is known 100 ms later. */
  private static final long SLACK_MICROS = 50_000;

  private static final long KNOWN_AFTER_MICROS = 100_000;

  private final Test test;
  private final Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
  private final List<Gateway> gateways = new ArrayList<>();
  private final List<ConcurrentLinkedDeque<Client>> idle = new ArrayList<>();
  private final ExecutorService callers =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "client");
            thread.setDaemon(true);
            return thread;
          });
  private FormerPrimaryReturns(Test test) {
    this.test = test;
  }

  public static void main(String[] args) {
    Test.main(args, test -> new FormerPrimaryReturns(test).run());
  }

  private String newId() {
    return String.format("%016x", ThreadLocalRandom.current().nextLong());
  }

  private void call(int gateway, String id, String what, String statement) {
    callers.execute(
        () -> {
          try {
            Client client = idle.get(gateway).pollLast();
            client = client == null ? test.ends(new Client(gateways.get(gateway).port)) : client;
            test.record.line("client sends %s %s to n%d", what, id, gateway);
            Client.Answer answer = client.call(statement);
            answers.put(id, answer);
            test.record.at(answer.micros(), "client gets %s: %s %s", id, answer.kind(), answer.value());
            idle.get(gateway).addLast(client);
          } catch (IOException ended) {
            test.record.line("client's connection ends without an answer to %s", id);
          }
        });
  }

  private void read(int gateway, int group) {
    String id = newId();
    call(
        gateway,
        id,
        "address-check",
        "/* id=" + id + ",c=address-check,t=pizzanord,d=1200,cluster=" + group + " */ SELECT blob"
            + " FROM rows WHERE handle = '" + id + "'");
  }

  /** Sends a write that takes the primary so long. */
  private String write(int gateway, Map<String, Long> work, long workMillis) {
    String id = newId();
    work.put(id, workMillis);
    call(
        gateway,
        id,
        "zone-change",
        "/* id=" + id + ",c=zone-change,t=pizzanord,d=3000,cluster=0 */ INSERT INTO rows (handle,"
            + " blob) VALUES ('" + id + "', '\\x9f03') RETURNING blob");
    return id;
  }

  private List<String> run() throws Exception {
    Discovery discovery = test.ends(new Discovery(test.record));
    Map<String, Long> work = new ConcurrentHashMap<>();
    String[] zones = {"taastrup", "glostrup", "ballerup"};
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      int group = i < 4 ? 0 : 1;
      Host host =
          test.ends(
              new Host(
                  "s-" + group + i,
                  group,
                  i == 0 || i == 4,
                  Set.of("zone-change"),
                  (id, requestClass) -> work.getOrDefault(id, 10L),
                  test.record));
      host.stamped = true;
      host.probeMillis = 2; // 0.6 ms of work, and 0.78 ms one way between data centres
      hosts.add(host);
      discovery.add(
          new Discovery.Entry(
              host.id, host.port, zones[i % 3], "std-3core", group, "Ready", 0, host.primary));
    }
    for (int i = 0; i < GATEWAYS; i++) {
      idle.add(new ConcurrentLinkedDeque<>());
      gateways.add(
          test.ends(
              new Gateway(
                  test.root,
                  test.folder,
                  "n" + i,
                  discovery.port,
                  Sites.zoneDbDk(i),
                  discovery.list())));
    }
    List<Thread> loads = new ArrayList<>();
    for (int i = 0; i < GATEWAYS; i++) {
      for (int group = 0; group < 2; group++) {
        int gateway = i;
        int toGroup = group;
        Thread load = new Thread(() -> load(gateway, toGroup));
        load.setDaemon(true);
        load.start();
        loads.add(load);
      }
      write(i, work, 30);
    }
    Thread.sleep(8000);

    Host former = hosts.get(0);
    Host next = hosts.get(1);
    List<String> held = new ArrayList<>();
    for (int i = 0; i < GATEWAYS; i++) {
      held.add(write(i, work, 1500));
    }
    Thread.sleep(100);
    long toldReaderMicros = Long.MAX_VALUE;
    if (test.trouble) {
      discovery.publish(discovery.entry(former.id).with("Terminating", 0));
      Thread.sleep(600);
      // The log ends here: the next primary hangs as soon as it has taken over.
      long position = Clock.micros();
      hosts.stream().filter(host -> host.group == 0).forEach(host -> host.frozenPosition = position);
      next.primary = true;
      next.hung = true;
      former.primary = false;
      test.record.line("%s hands over to %s, which hangs", former.id, next.id);
      Thread.sleep(300);
      toldReaderMicros =
          held.stream()
              .map(answers::get)
              .mapToLong(answer -> answer == null ? Long.MAX_VALUE : answer.micros())
              .max()
              .getAsLong();
      Discovery.Entry listed = discovery.entry(former.id);
      former.kill();
      discovery.publish(listed.with("Gone", 0));
      Thread.sleep(2500);
      former.restart();
      Thread.sleep(2300);
      discovery.publish(listed.with("Ready", former.startedMillis));
      Thread.sleep(1000);
    } else {
      Thread.sleep(6800);
    }
    loads.forEach(Thread::interrupt);
    for (Thread load : loads) {
      load.join();
    }
    callers.shutdown();
    callers.awaitTermination(4, TimeUnit.SECONDS);
    return breaks(hosts, former, toldReaderMicros);
  }

  private void load(int gateway, int group) {
    try {
      long nextMicros = Clock.micros();
      while (true) {
        read(gateway, group);
        nextMicros += 1_000_000 / READS_PER_SECOND[group];
        Clock.sleepUntil(nextMicros);
      }
    } catch (InterruptedException ended) {
      // the test is over
    }
  }

  /**
   * A read that was served with data older than its bound when its last byte arrived at the host,
   * unless it went to a former primary of which no answer had told that it is none.
   */
  private List<String> breaks(List<Host> hosts, Host former, long toldReaderMicros) {
    List<String> breaks = new ArrayList<>();
    for (Host host : hosts) {
      for (Host.Run run : host.runs) {
        Client.Answer answer = answers.get(run.id());
        boolean served =
            answer != null
                && answer.kind().equals("served")
                && answer.value().equals(host.id + "/" + run.id());
        long ageMicros = run.arrivedMicros() - run.position();
        boolean excused =
            host == former && run.arrivedMicros() < toldReaderMicros + KNOWN_AFTER_MICROS;
        if (run.requestClass().equals("address-check")
            && served
            && !excused
            && ageMicros > BOUND_MICROS + SLACK_MICROS) {
          breaks.add(
              String.format(
                  "stale: %s was served by %s, a %s, with data %.2f s old; its class allows 0.5 s",
                  run.id(), host.id, run.role(), ageMicros / 1e6));
        }
      }
    }
    return breaks;
  }
}
