package shelffront.lab.emulator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import shelffront.lab.model.Clock;
import shelffront.lab.model.ReplicaSetModel;
import shelffront.lab.model.ReplicaSetModel.Answer;
import shelffront.lab.model.ReplicaSetModel.Effect;
import shelffront.lab.model.ReplicaSetModel.Query;
import shelffront.lab.model.ReplicaSetParameters;
import shelffront.lab.transport.SocketTransport;
import shelffront.lab.transport.TransportConnection;
import shelffront.pg.ProtocolException;
import shelffront.pg.Statement;

/**
 * Runs the model of a replica set on loopback sockets in real time. Counts the writes that took
 * effect by key, so that a test can compare them with the responses to clients. Methods may be
 * called from any thread unless they say otherwise; the model is confined to the transport's
 * thread.
 */
public final class EmulatedReplicaSet implements AutoCloseable {

  private static final long ELECTION_MICROS = 1_000_000;
  private static final long HAND_OVER_MICROS = 500_000;
  private static final double LATENESS_PERCENTILE = 99;
  private static final int DEFAULT_WAIT_MILLIS = 60_000;
  private static final int UNBOUNDED = 1 << 20;

  /** One host of the replica set. */
  public final class Host {

    private final ReplicaSetModel.Host model;
    private final InetSocketAddress address;
    private final Set<EmulatedHostConnection> connections = new HashSet<>();
    private final AtomicLong startedCount = new AtomicLong();
    private volatile long lastStartNanos;
    private volatile boolean silent;
    private volatile boolean corruptsAnswers;
    private volatile boolean primary;

    private Host(ReplicaSetModel.Host model) throws IOException {
      this.model = model;
      address = transport.listen(this::accept);
      primary = model.isPrimary();
    }

    private TransportConnection.Listener accept(TransportConnection connection) {
      connections.removeIf(EmulatedHostConnection::isClosed);
      if (!model.isUp() || connections.size() >= parameters.connections()) {
        return null;
      }
      EmulatedHostConnection handler = new EmulatedHostConnection(environment, model, connection);
      connections.add(handler);
      return handler;
    }

    public String id() {
      return model.id();
    }

    public String address() {
      return address.getHostString() + ":" + address.getPort();
    }

    public boolean isPrimary() {
      return primary;
    }

    /**
     * The phase in the endpoint list: Ready, Terminating or Gone. Must be called on the transport's
     * thread.
     */
    public String phase() {
      return !model.isUp() ? "Gone" : model.isDraining() ? "Terminating" : "Ready";
    }

    /**
     * The start time of the process in Unix microseconds, 0 for a host that was warm from the
     * beginning. Must be called on the transport's thread.
     */
    public long startedAtMicros() {
      return model.startedAtMicros();
    }

    /** While silent, connections are accepted but queries and health checks get no response. */
    public void setSilent(boolean enabled) {
      silent = enabled;
    }

    /** While enabled, every response except to health checks is malformed. */
    public void setCorruptsAnswers(boolean enabled) {
      corruptsAnswers = enabled;
    }

    /** Terminates the process; if it was primary, another host is elected. */
    public void kill() {
      runOnTransport(
          () -> {
            EmulatedReplicaSet.this.model.kill(model);
            connections.forEach(EmulatedHostConnection::reset);
            connections.clear();
          });
    }

    /** Starts the process again with the data that it had and cold caches. */
    public void restart() {
      runOnTransport(() -> EmulatedReplicaSet.this.model.restart(model));
    }

    /** Finishes admitted queries and accepts no new ones; a primary hands over its role. */
    public void drain() {
      runOnTransport(() -> EmulatedReplicaSet.this.model.drain(model));
    }

    /** Accepts queries again, in the role that the host has now. */
    public void cancelDrain() {
      runOnTransport(() -> EmulatedReplicaSet.this.model.cancelDrain(model));
    }

    /** Multiplies all service times by a factor for a number of seconds. */
    public void slowDown(double factor, double seconds) {
      runOnTransport(() -> model.slowDown(factor, (long) (seconds * 1e6)));
    }

    /** Returns the number of queries whose execution has started. */
    public long startedCount() {
      return startedCount.get();
    }

    /** Returns when the execution of a query last started, as {@link System#nanoTime}. */
    public long lastStartNanos() {
      return lastStartNanos;
    }
  }

  private final SocketTransport transport;
  private final boolean ownsTransport;
  private final ReplicaSetParameters parameters;
  private final ReplicaSetModel model;
  private final HostEnvironment environment = new LoopbackEnvironment();
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final Map<String, AtomicLong> effects = new ConcurrentHashMap<>();
  private final Consumer<EmulatedReplicaSet> primaryListener;

  /**
   * Starts a primary and replicas on a transport of their own. All hosts are warm and take {@code
   * workMs} for a request; replicas lag by {@code lagMs}.
   */
  public EmulatedReplicaSet(String name, int replicas, int cores, double workMs, long lagMs)
      throws IOException {
    this(
        new SocketTransport("set " + name),
        true,
        name,
        replicas + 1,
        uniformParameters(cores, workMs, lagMs),
        replicaSet -> {});
  }

  /**
   * Starts hosts on a transport that may be shared; {@link #close} leaves it open.
   *
   * @param elected called on the transport's thread when the primary changes
   */
  public EmulatedReplicaSet(
      SocketTransport transport,
      String name,
      int hostCount,
      ReplicaSetParameters parameters,
      Consumer<EmulatedReplicaSet> elected)
      throws IOException {
    this(transport, false, name, hostCount, parameters, elected);
  }

  private EmulatedReplicaSet(
      SocketTransport transport,
      boolean own,
      String name,
      int hostCount,
      ReplicaSetParameters parameters,
      Consumer<EmulatedReplicaSet> elected)
      throws IOException {
    this.transport = transport;
    ownsTransport = own;
    this.parameters = parameters;
    this.primaryListener = elected;
    model =
        new ReplicaSetModel(
            name,
            hostCount,
            transport,
            RandomSource.XO_RO_SHI_RO_128_PP.create(name.hashCode()),
            parameters,
            new EffectCounter());
    for (ReplicaSetModel.Host host : model.hosts()) {
      hosts.put(host.id(), new Host(host));
    }
  }

  /**
   * Parameters of hosts with a constant service time, without position checks and with practically
   * unlimited queues and connections.
   */
  public static ReplicaSetParameters uniformParameters(int cores, double workMs, long lagMs) {
    long work = (long) (workMs * 1000);
    return new ReplicaSetParameters(
        cores,
        UNBOUNDED,
        UNBOUNDED,
        work,
        work,
        0,
        0,
        lagMs * 1000,
        0,
        1,
        1,
        ELECTION_MICROS,
        HAND_OVER_MICROS,
        0,
        ReplicaSetParameters.Check.SILENT,
        0,
        UNBOUNDED,
        1,
        false);
  }

  public List<Host> hosts() {
    return List.copyOf(hosts.values());
  }

  /** Returns how many times the write with each key took effect. */
  public Map<String, AtomicLong> effects() {
    return effects;
  }

  /** Returns the number of connections that are open to all hosts. */
  public int connectionCount() {
    AtomicInteger sum = new AtomicInteger();
    runOnTransport(
        () ->
            hosts
                .values()
                .forEach(
                    host -> {
                      host.connections.removeIf(EmulatedHostConnection::isClosed);
                      sum.addAndGet(host.connections.size());
                    }));
    return sum.get();
  }

  /** Returns the 99th percentile of the delay of tasks past their due time, in microseconds. */
  public long latenessMicros() {
    return transport.latenessMicros().getValueAtPercentile(LATENESS_PERCENTILE);
  }

  private void runOnTransport(Runnable task) {
    CountDownLatch done = new CountDownLatch(1);
    transport.post(
        () -> {
          task.run();
          done.countDown();
        });
    try {
      transport.await(done);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    if (ownsTransport) {
      transport.close();
    }
  }

  private final class LoopbackEnvironment implements HostEnvironment {

    @Override
    public Clock clock() {
      return transport;
    }

    @Override
    public long handshakeMicros() {
      return parameters.handshake();
    }

    @Override
    public Query parse(Statement statement, String text) throws ProtocolException {
      return new Query(
          statement.value("id"),
          statement.value("k") == null ? statement.value("id") : statement.value("k"),
          statement.key(),
          text.contains("INSERT"),
          false,
          0,
          transport.nowMicros() + statement.number("d", DEFAULT_WAIT_MILLIS) * 1000L);
    }

    @Override
    public Consumer<Answer> attemptArrived(
        ReplicaSetModel.Host host, TransportConnection from, Query query) {
      return answer -> {};
    }

    @Override
    public void replicaRoleSent(ReplicaSetModel.Host host, TransportConnection connection) {}

    @Override
    public boolean corruptsAnswer(ReplicaSetModel.Host host) {
      return hosts.get(host.id()).corruptsAnswers;
    }

    @Override
    public boolean isSilent(ReplicaSetModel.Host host) {
      return hosts.get(host.id()).silent;
    }

    @Override
    public void malformedRequest(ReplicaSetModel.Host host, ProtocolException why) {}

    @Override
    public void connectionEnded(ReplicaSetModel.Host host) {}
  }

  private final class EffectCounter implements ReplicaSetModel.Observer {

    @Override
    public void executionStarted(ReplicaSetModel.Host modelHost, Query query) {
      Host host = hosts.get(modelHost.id());
      host.lastStartNanos = System.nanoTime();
      host.startedCount.incrementAndGet();
    }

    @Override
    public void applied(ReplicaSetModel.Host host, Effect effect, Query query, boolean repeated) {
      if (!repeated) {
        effects.computeIfAbsent(effect.key(), key -> new AtomicLong()).incrementAndGet();
      }
    }

    @Override
    public void readServed(ReplicaSetModel.Host host, Query query, long position) {}

    @Override
    public void overloaded(ReplicaSetModel.Host host) {}

    @Override
    public void primaryChanged(
        ReplicaSetModel.Host primary, ReplicaSetModel.Host before, List<Effect> lost) {
      hosts.values().forEach(host -> host.primary = host.model == primary);
      primaryListener.accept(EmulatedReplicaSet.this);
    }
  }
}
