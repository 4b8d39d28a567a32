package shelffront.controlplane;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.function.LongSupplier;
import shelffront.config.GatewayConfig;
import shelffront.config.MalformedInputException;
import shelffront.coordination.ConsulCoordinationStore;
import shelffront.net.EventLog;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * The process started by {@code distribute --config}: follows the change store or other
 * distributors, and serves subscribers. Owns its threads: those of the timer, those that write
 * responses, and that of an {@link EngineFollower}.
 */
public final class DistributorProcess implements AutoCloseable {

  private static final int RESPONSE_THREADS = 16;
  private static final int TIMER_THREADS = 2;
  private static final long NANOS_PER_MICRO = 1000;

  private final DistributionServer server;
  private final ScheduledThreadPoolExecutor timer;
  private final ExecutorService responseExecutor;
  private final AutoCloseable follower;
  private final Runnable startFollower;

  private DistributorProcess(InetSocketAddress listen, SubscribedRecordsConfig config, EventLog log)
      throws IOException {
    LongSupplier clock = () -> System.nanoTime() / NANOS_PER_MICRO;
    timer = newDaemonScheduler(TIMER_THREADS, "distributor-timer");
    responseExecutor =
        Executors.newFixedThreadPool(RESPONSE_THREADS, daemonThreads("distributor-answer"));
    Distributor distributor = new Distributor(timer, responseExecutor, clock);
    server = new DistributionServer(listen, distributor, responseExecutor, log);
    if (config.distributors().isEmpty()) {
      EngineFollower engine = new EngineFollower(openChangeStore(config), distributor, clock, log);
      follower = engine;
      startFollower = engine::start;
    } else {
      Subscriber subscriber =
          new Subscriber(
              config.subscriberSettings(),
              new UpstreamFollower(config.name(), distributor),
              SubscribedRecords.httpClient(config.timings()),
              config.newSelector(new Random()),
              timer,
              clock,
              log);
      follower = subscriber;
      startFollower = subscriber::start;
    }
  }

  /**
   * Creates a distributor from its settings: the listen address plus the settings that {@link
   * SubscribedRecordsConfig} reads.
   */
  public static DistributorProcess fromSettings(JsonNode settings, EventLog log)
      throws SpecException, IOException {
    if (!settings.isObject()) {
      throw new SpecException("", "expected a JSON object");
    }
    ObjectNode rest = settings.deepCopy();
    JsonNode listen = rest.remove("listen");
    try {
      InetSocketAddress address = GatewayConfig.parseAddress(listen == null ? "" : listen.asText());
      return new DistributorProcess(address, SubscribedRecordsConfig.read(rest, ""), log);
    } catch (MalformedInputException | IllegalArgumentException e) {
      throw new SpecException(
          "/listen", "expected an IP address and port such as 127.0.0.1:5432, but found " + listen);
    }
  }

  /** Opens the change store; the settings must have an engine address. */
  public static ChangeStore openChangeStore(SubscribedRecordsConfig config) {
    return new ChangeStore(
        new ConsulCoordinationStore(
            config.engineAddress().getHostString(),
            config.engineAddress().getPort(),
            Duration.of(config.timings().pollWaitMicros(), ChronoUnit.MICROS)),
        config.fleet());
  }

  /** Creates a scheduler with daemon threads. */
  public static ScheduledThreadPoolExecutor newDaemonScheduler(int threads, String name) {
    ScheduledThreadPoolExecutor timer =
        new ScheduledThreadPoolExecutor(threads, daemonThreads(name));
    timer.setRemoveOnCancelPolicy(true);
    return timer;
  }

  private static ThreadFactory daemonThreads(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }

  /** Starts to follow upstream and to serve subscribers, until {@link #close}. */
  public void start() {
    server.start();
    startFollower.run();
  }

  public InetSocketAddress address() {
    return server.address();
  }

  @Override
  public void close() throws Exception {
    follower.close();
    server.close();
    timer.shutdownNow();
    responseExecutor.shutdownNow();
  }
}
