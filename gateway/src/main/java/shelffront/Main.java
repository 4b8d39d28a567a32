package shelffront;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import shelffront.cli.Cli;
import shelffront.config.GatewayConfig;
import shelffront.config.MalformedInputException;
import shelffront.gateway.ConfigReload;
import shelffront.gateway.Gateway;
import shelffront.gateway.ReloadSignal;
import shelffront.net.AsyncEventLog;
import shelffront.net.BufferMemory;
import shelffront.net.Counters;
import shelffront.net.EventLog;
import shelffront.net.EventLoop;
import shelffront.net.Network;
import shelffront.net.ResourceBudget;
import shelffront.simulator.SimulatorAdapter;
import shelffront.training.TrainingRun;

/**
 * Entry point. Without options, {@code serve} runs a single-tenant gateway, {@code benchlink} runs
 * the simulator adapter, and {@code rehearse} runs {@link TrainingRun}, the last build step, which
 * loads the classes that the JVM archives for a faster start. All other command lines go to {@link
 * Cli}.
 */
public final class Main {

  private static final long STOP_TIMEOUT_SECONDS = 30;
  private static final long LOG_CLOSE_TIMEOUT_MILLIS = 2000;

  private Main() {}

  public static void main(String[] args) {
    // The commands that the platform starts are handled here, without loading picocli.
    String command = args.length == 1 ? args[0] : "";
    try {
      switch (command) {
        case "serve" -> serve();
        case "rehearse" -> trainingRun();
        case "benchlink" ->
            new SimulatorAdapter(
                    new FileInputStream(FileDescriptor.in),
                    new FileOutputStream(FileDescriptor.out))
                .run();
        default -> System.exit(Cli.run(args));
      }
    } catch (MalformedInputException | IOException e) {
      System.err.println("shelffront: " + e.getMessage());
      System.exit(1);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Network openNetwork(EventLog log, long maxMemoryBytes) throws IOException {
    Counters counters = new Counters();
    EventLoop loop =
        new EventLoop(() -> ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()), counters);
    long bufferBytes = BufferMemory.budgetBytes(Runtime.getRuntime().maxMemory(), maxMemoryBytes);
    return Network.open(loop, new ResourceBudget(bufferBytes), counters, log);
  }

  private static AsyncEventLog openLog() {
    return new AsyncEventLog(new PrintStream(new FileOutputStream(FileDescriptor.out)));
  }

  private static void trainingRun()
      throws IOException, MalformedInputException, InterruptedException {
    AsyncEventLog log = openLog();
    TrainingRun.run(System.getenv(), openNetwork(log, 0));
    log.close(LOG_CLOSE_TIMEOUT_MILLIS);
  }

  private static void serve() throws IOException, MalformedInputException, InterruptedException {
    ReloadSignal reloadSignal = ReloadSignal.install(GatewayConfig.file(System.getenv()));
    GatewayConfig config = GatewayConfig.fromEnvironment(System.getenv());
    AsyncEventLog log = openLog();
    Network network = openNetwork(log, config.maxMemoryBytes());
    EventLoop loop = network.loop();
    Gateway gateway = new Gateway(network, config);
    CountDownLatch stopped = new CountDownLatch(1);
    // The process ends when its shutdown hooks return, so the hook waits until the gateway has
    // drained and all accepted requests have a response.
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  loop.post(gateway::drain);
                  try {
                    stopped.await(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
                    log.close(LOG_CLOSE_TIMEOUT_MILLIS);
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                },
                "stop"));
    ConfigReload reload = new ConfigReload(network, gateway, System.getenv());
    reloadSignal.handleWith(reload::request, network.log());
    gateway.start();
    network
        .log()
        .println(
            "gateway "
                + config.name()
                + " listens on "
                + gateway.address()
                + ", discovery is "
                + config.discoveryAddress());
    loop.run();
    stopped.countDown();
  }
}
