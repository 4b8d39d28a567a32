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
 * The model of a set on loopback sockets, in real time. Every write that took effect is counted by
 * its key, and what a client was served can be held against it. Its methods may be called by any
 * thread; the model is its carrier's.
 */
public final class EmulatedReplicaSet implements AutoCloseable {

  private static final int LONG = 60_000;
  private static final int MANY = 1 << 20;

  /** One box. */
  public final class Box {

    private final ReplicaSetModel.Box model;
    private final InetSocketAddress address;
    private final Set<EmulatedHostConnection> connections = new HashSet<>();
    private final AtomicLong begun = new AtomicLong();
    private volatile long lastBegun;
    private volatile boolean silent;
    private volatile boolean spoils;
    private volatile boolean primary;

    private Box(ReplicaSetModel.Box model) throws IOException {
      this.model = model;
      address = carrier.listen(this::accept);
      primary = model.isPrimary();
    }

    private TransportConnection.Owner accept(TransportConnection wire) {
      connections.removeIf(EmulatedHostConnection::isOver);
      if (!model.isUp() || connections.size() >= figures.connections()) {
        return null;
      }
      EmulatedHostConnection talker = new EmulatedHostConnection(hosting, model, wire);
      connections.add(talker);
      return talker;
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

    /** How the list names its state: Ready, Terminating or Gone. On the carrier's thread. */
    public String phase() {
      return !model.isUp() ? "Gone" : model.isDraining() ? "Terminating" : "Ready";
    }

    /**
     * When its process started, in Unix microseconds, or 0 if long ago. On the carrier's thread.
     */
    public long startedAt() {
      return model.startedAt();
    }

    /** Takes connections and says nothing more, to queries and probes alike. */
    public void silence(boolean on) {
      silent = on;
    }

    /** Answers with garbage. */
    public void spoil(boolean on) {
      spoils = on;
    }

    /** Its process ends; where it was primary, another is elected. */
    public void kill() {
      onTurn(
          () -> {
            EmulatedReplicaSet.this.model.kill(model);
            connections.forEach(EmulatedHostConnection::reset);
            connections.clear();
          });
    }

    /** Its process starts anew, cold, from the copy that it had. */
    public void restart() {
      onTurn(() -> EmulatedReplicaSet.this.model.restart(model));
    }

    /** It finishes what it has and takes nothing new; a primary hands over. */
    public void drain() {
      onTurn(() -> EmulatedReplicaSet.this.model.drain(model));
    }

    /** Takes so many times as long for everything, for a while. */
    public void slow(double factor, double seconds) {
      onTurn(() -> model.slow(factor, (long) (seconds * 1e6)));
    }

    /** Queries that it has begun to work on. */
    public long begun() {
      return begun.get();
    }

    /** When it last began one, by {@link System#nanoTime}. */
    public long lastBegun() {
      return lastBegun;
    }
  }

  private final SocketTransport carrier;
  private final boolean ownCarrier;
  private final ReplicaSetParameters figures;
  private final ReplicaSetModel model;
  private final HostEnvironment hosting = new Loopback();
  private final Map<String, Box> boxes = new LinkedHashMap<>();
  private final Map<String, AtomicLong> effects = new ConcurrentHashMap<>();
  private final Consumer<EmulatedReplicaSet> elected;

  /**
   * A primary and so many replicas, each with so many cores, which take {@code workMs} for a
   * request; all warm.
   */
  public EmulatedReplicaSet(String name, int replicas, int cores, double workMs, long lagMs)
      throws IOException {
    this(
        new SocketTransport("set " + name),
        true,
        name,
        replicas + 1,
        plain(cores, workMs, lagMs),
        s -> {});
  }

  /**
   * Boxes by their figures on a carrier that others may use too; told on its thread when there is a
   * new primary.
   */
  public EmulatedReplicaSet(
      SocketTransport carrier,
      String name,
      int boxCount,
      ReplicaSetParameters figures,
      Consumer<EmulatedReplicaSet> elected)
      throws IOException {
    this(carrier, false, name, boxCount, figures, elected);
  }

  private EmulatedReplicaSet(
      SocketTransport carrier,
      boolean own,
      String name,
      int boxCount,
      ReplicaSetParameters figures,
      Consumer<EmulatedReplicaSet> elected)
      throws IOException {
    this.carrier = carrier;
    ownCarrier = own;
    this.figures = figures;
    this.elected = elected;
    model =
        new ReplicaSetModel(
            name,
            boxCount,
            carrier,
            RandomSource.XO_RO_SHI_RO_128_PP.create(name.hashCode()),
            figures,
            new Counting());
    for (ReplicaSetModel.Box box : model.boxes()) {
      boxes.put(box.id(), new Box(box));
    }
  }

  /** Boxes that take the same time for everything, check nothing and bear whatever comes. */
  public static ReplicaSetParameters plain(int cores, double workMs, long lagMs) {
    long work = (long) (workMs * 1000);
    return new ReplicaSetParameters(
        cores,
        MANY,
        MANY,
        work,
        work,
        0,
        0,
        lagMs * 1000,
        0,
        1,
        1,
        1_000_000,
        500_000,
        0,
        ReplicaSetParameters.Check.SILENT,
        0,
        MANY,
        1,
        false);
  }

  public List<Box> boxes() {
    return List.copyOf(boxes.values());
  }

  /** How often each key's write took effect. */
  public Map<String, AtomicLong> effects() {
    return effects;
  }

  /** Connections that are open to it. */
  public int connections() {
    AtomicInteger sum = new AtomicInteger();
    onTurn(
        () ->
            boxes
                .values()
                .forEach(
                    b -> {
                      b.connections.removeIf(EmulatedHostConnection::isOver);
                      sum.addAndGet(b.connections.size());
                    }));
    return sum.get();
  }

  /** How late its work was done because this machine was slow, in microseconds, 99 of 100 times. */
  public long lateness() {
    return carrier.lateness().getValueAtPercentile(99);
  }

  private void onTurn(Runnable task) {
    CountDownLatch done = new CountDownLatch(1);
    carrier.post(
        () -> {
          task.run();
          done.countDown();
        });
    try {
      carrier.await(done);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    if (ownCarrier) {
      carrier.close();
    }
  }

  private final class Loopback implements HostEnvironment {

    @Override
    public Clock clock() {
      return carrier;
    }

    @Override
    public long handshake() {
      return figures.handshake();
    }

    @Override
    public Query query(Statement s, String text) throws ProtocolException {
      return new Query(
          s.value("id"),
          s.value("k") == null ? s.value("id") : s.value("k"),
          s.key(),
          text.contains("INSERT"),
          false,
          0,
          carrier.now() + s.number("d", LONG) * 1000L);
    }

    @Override
    public Consumer<Answer> arrived(
        ReplicaSetModel.Box box, TransportConnection from, Query query) {
      return answer -> {};
    }

    @Override
    public void tellsReplica(ReplicaSetModel.Box box, TransportConnection to) {}

    @Override
    public boolean spoils(ReplicaSetModel.Box box) {
      return boxes.get(box.id()).spoils;
    }

    @Override
    public boolean silent(ReplicaSetModel.Box box) {
      return boxes.get(box.id()).silent;
    }

    @Override
    public void malformed(ReplicaSetModel.Box box, ProtocolException why) {}

    @Override
    public void left(ReplicaSetModel.Box box) {}
  }

  private final class Counting implements ReplicaSetModel.Witness {

    @Override
    public void begun(ReplicaSetModel.Box box, Query query) {
      Box at = boxes.get(box.id());
      at.lastBegun = System.nanoTime();
      at.begun.incrementAndGet();
    }

    @Override
    public void applied(ReplicaSetModel.Box box, Effect effect, Query by, boolean repeated) {
      if (!repeated) {
        effects.computeIfAbsent(effect.key(), k -> new AtomicLong()).incrementAndGet();
      }
    }

    @Override
    public void read(ReplicaSetModel.Box box, Query query, long position) {}

    @Override
    public void pushedOver(ReplicaSetModel.Box box) {}

    @Override
    public void primary(ReplicaSetModel.Box box, ReplicaSetModel.Box before, List<Effect> lost) {
      boxes.values().forEach(b -> b.primary = b.model == box);
      elected.accept(EmulatedReplicaSet.this);
    }
  }
}
