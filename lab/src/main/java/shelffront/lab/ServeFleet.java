package shelffront.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import shelffront.lab.emulator.DiscoveryEmulator;
import shelffront.lab.emulator.EmulatedReplicaSet;
import shelffront.lab.model.ReplicaSetParameters;
import shelffront.lab.transport.SocketTransport;

/** Serves emulated replica sets and discovery on loopback, with faults injected by commands. */
@Command(
    name = "serve-fleet",
    mixinStandardHelpOptions = true,
    description = {
      "Serves emulated hosts and their endpoint list (discovery) on loopback until the time is over"
          + " or its input ends.",
      "Commands on its input, one per line:",
      "  list | kill BOX | restart BOX | drain BOX | slow BOX TIMES SECONDS | silence BOX | spoil"
          + " BOX | well BOX",
      "  break-watches | discovery down | discovery up | stop"
    })
final class ServeFleet implements Callable<Integer> {

  private static final long MICROS_PER_SECOND = 1_000_000;

  @Option(names = "--sets", defaultValue = "1", description = "replica sets (${DEFAULT-VALUE})")
  private int setCount;

  @Option(
      names = "--boxes",
      defaultValue = "3",
      description = "hosts per replica set, the first is the primary (${DEFAULT-VALUE})")
  private int hostsPerSet;

  @Option(names = "--cores", defaultValue = "8", description = "cores per host (${DEFAULT-VALUE})")
  private int cores;

  @Option(
      names = "--work-ms",
      defaultValue = "5",
      description = "median processing time of a read (${DEFAULT-VALUE})")
  private double workMs;

  @Option(
      names = "--list-delay-ms",
      defaultValue = "1000",
      description = "delay of endpoint updates (${DEFAULT-VALUE})")
  private long listDelayMs;

  @Option(
      names = "--port",
      defaultValue = "8700",
      description = "port of discovery, 0 for any free port (${DEFAULT-VALUE})")
  private int port;

  @Option(
      names = "--seconds",
      defaultValue = "3600",
      description = "time until it stops (${DEFAULT-VALUE})")
  private double seconds;

  private final List<EmulatedReplicaSet> sets = new ArrayList<>();
  private DiscoveryEmulator discovery;
  private SocketTransport transport;

  @Override
  public Integer call() throws IOException, InterruptedException {
    long work = (long) (workMs * 1000);
    ReplicaSetParameters parameters =
        new ReplicaSetParameters(
            cores,
            60,
            500,
            work,
            2 * work,
            0.5,
            1_000,
            20_000,
            300,
            0.21,
            18 * MICROS_PER_SECOND,
            MICROS_PER_SECOND,
            MICROS_PER_SECOND / 2,
            2 * MICROS_PER_SECOND,
            ReplicaSetParameters.Check.WAIT,
            50_000,
            4,
            2 * MICROS_PER_SECOND,
            false);
    try (SocketTransport own = new SocketTransport("fleet")) {
      transport = own;
      for (int i = 1; i <= setCount; i++) {
        sets.add(
            new EmulatedReplicaSet(transport, "s" + i, hostsPerSet, parameters, this::publish));
      }
      InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
      discovery = new DiscoveryEmulator(transport, address, (connection, some, complete) -> {});
      transport.post(() -> sets.forEach(this::publish));
      System.out.println("discovery: http://127.0.0.1:" + port);
      sets.forEach(replicaSet -> replicaSet.hosts().forEach(this::print));
      Thread timer = new Thread(this::exitAfterTimeLimit, "timer");
      timer.setDaemon(true);
      timer.start();
      BufferedReader input = new BufferedReader(new InputStreamReader(System.in));
      for (String line = input.readLine();
          line != null && !line.equals("stop");
          line = input.readLine()) {
        if (!line.isBlank() && !execute(line.trim().split(" +"))) {
          System.out.println("unknown or invalid command: " + line + " (see --help)");
        }
      }
      return 0;
    }
  }

  private void exitAfterTimeLimit() {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    System.exit(0);
  }

  private void print(EmulatedReplicaSet.Host host) {
    System.out.printf(
        "%s %s %s, %d queries started%n",
        host.id(), host.address(), host.isPrimary() ? "primary" : "replica", host.startedCount());
  }

  /** Publishes the endpoints of a replica set to discovery, which lists them after its delay. */
  private void publish(EmulatedReplicaSet replicaSet) {
    int group = sets.indexOf(replicaSet) + 1;
    long delay = listDelayMs * 1000;
    replicaSet
        .hosts()
        .forEach(
            host ->
                discovery.publish(
                    new DiscoveryEmulator.EndpointLine(
                        host.id(),
                        host.address(),
                        group,
                        host.phase(),
                        host.startedAtMicros() / 1000,
                        host.isPrimary()),
                    delay));
  }

  /** Executes a command; returns false if it is unknown or invalid. */
  boolean execute(String[] words) {
    switch (words[0]) {
      case "list" -> sets.forEach(replicaSet -> replicaSet.hosts().forEach(this::print));
      case "break-watches" -> transport.post(discovery::breakWatches);
      case "discovery" -> {
        if (words.length != 2 || !words[1].matches("up|down")) {
          return false;
        }
        transport.post(() -> discovery.setDown(words[1].equals("down")));
      }
      default -> {
        return applyToHost(words);
      }
    }
    return true;
  }

  private boolean applyToHost(String[] words) {
    for (EmulatedReplicaSet replicaSet : sets) {
      for (EmulatedReplicaSet.Host host : replicaSet.hosts()) {
        if (words.length > 1 && host.id().equals(words[1])) {
          boolean known = applyToHost(host, words);
          transport.post(() -> publish(replicaSet));
          return known;
        }
      }
    }
    return false;
  }

  private static boolean applyToHost(EmulatedReplicaSet.Host host, String[] words) {
    switch (words[0]) {
      case "kill" -> host.kill();
      case "restart" -> host.restart();
      case "drain" -> host.drain();
      case "silence" -> host.setSilent(true);
      case "spoil" -> host.setCorruptsAnswers(true);
      case "well" -> {
        host.setSilent(false);
        host.setCorruptsAnswers(false);
      }
      case "slow" -> {
        if (words.length != 4 || !(words[2] + words[3]).matches("[0-9.]+")) {
          return false;
        }
        host.slowDown(Double.parseDouble(words[2]), Double.parseDouble(words[3]));
      }
      default -> {
        return false;
      }
    }
    return true;
  }
}
