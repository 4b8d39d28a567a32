package shelffront.multitenant;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import shelffront.frontend.FrontendConnections;
import shelffront.frontend.RequestHandler;
import shelffront.frontend.TenantLookup;
import shelffront.gateway.Gateway;
import shelffront.net.CloseReason;
import shelffront.net.Counters;
import shelffront.net.EventLog;
import shelffront.net.EventLoop;
import shelffront.net.Network;
import shelffront.net.ResourceBudget;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;
import shelffront.quota.ConnectionQuotas;
import shelffront.quota.EventLoopPlacement;
import shelffront.quota.SharedCapacity;
import shelffront.quota.TenantQuotas;
import shelffront.tenant.Tenant;
import shelffront.tenant.TenantRegistry;
import shelffront.tenant.TenantSpec;

/**
 * The event loops of a hosted gateway. The first has the listener and knows where each tenant
 * lives; a connection is handed over once it has named its tenant. A tenant's connections,
 * requests, module and timers are all on its own loop, and no loop waits for another: they post to
 * each other.
 *
 * <p>A tenant that wakes, with no client anywhere, may be given another home. There a new module
 * serves it, and until the one before has ended its work, and for what was written before, reads
 * must be covered.
 *
 * <p>Methods run on the first loop's thread unless they say otherwise.
 */
final class EventLoopGroup implements TenantLookup {

  /**
   * Microseconds after which a tenant of a fleet that no client asked for is served here no longer.
   */
  private static final long FORGET_AFTER_MICROS = 600_000_000;

  private record LoopMember(Network network, TenantRegistry tenants) {}

  /** Where a tenant lives. */
  private static final class Home {

    private TenantSpec spec;
    private int loopIndex;
    private int clients; // connections handed over and not ended there
    private long usedAtMicros; // when a client last named it

    private Home(TenantSpec spec, int loopIndex) {
      this.spec = spec;
      this.loopIndex = loopIndex;
    }
  }

  private final List<LoopMember> members = new ArrayList<>();
  private final List<FrontendConnections> clients = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final Map<String, Home> homes = new HashMap<>();
  private final EventLoopPlacement placement;
  private final Network firstNetwork;
  private final boolean[] drained;
  private Function<String, CompletableFuture<Boolean>>
      tenantFinder; // null where all tenants are known
  private Consumer<String> tenantForgetter;

  EventLoopGroup(MultiTenantConfig config, EventLog log, GatewayEnvironment environment)
      throws IOException {
    SharedCapacity shares =
        new SharedCapacity(
            config.capacity().requestsPerSecond(),
            config.capacity().openRequests(),
            config.cores());
    ResourceBudget buffers = new ResourceBudget(config.bufferBytes());
    ConnectionQuotas hostSockets =
        new ConnectionQuotas(Gateway.hostConnectionLimit(config.sockets()));
    drained = new boolean[config.cores()];
    for (int i = 0; i < config.cores(); i++) {
      Counters counters = new Counters();
      EventLoop loop = new EventLoop(environment.clock(), counters);
      Network network = Network.open(loop, environment.channels().on(1), buffers, counters, log);
      TenantRegistry tenants =
          new TenantRegistry(
              network,
              new TenantQuotas(shares, i, loop.nowMicros()),
              hostSockets,
              environment.seed() + ((long) i << 20));
      members.add(new LoopMember(network, tenants));
    }
    Network first = members.get(0).network();
    placement = new EventLoopPlacement(members.size(), first.loop().nowMicros());
    firstNetwork =
        members.size() == 1 ? first : first.withChannels(environment.channels().on(members.size()));
  }

  /** The first loop, as the listener sees it. */
  Network firstNetwork() {
    return firstNetwork;
  }

  /** Each loop's own view, the listener's first. */
  List<Network> networks() {
    return members.stream().map(LoopMember::network).toList();
  }

  /** The listener's clients are those of the first loop. */
  void serveBehind(FrontendConnections listening) {
    clients.add(listening);
    for (LoopMember member : members.subList(1, members.size())) {
      clients.add(new FrontendConnections(member.network(), member.tenants()));
    }
  }

  /** Starts the loops but the first, which its caller runs. */
  void start() {
    for (int i = 1; i < members.size(); i++) {
      EventLoop loop = members.get(i).network().loop();
      Thread thread =
          new Thread(
              () -> {
                try {
                  loop.run();
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              },
              "turns-" + i);
      thread.start();
      threads.add(thread);
    }
  }

  /**
   * Waits until the others have ended, and ends their channels' threads; by whoever ran the first
   * loop.
   */
  void join() throws InterruptedException {
    for (Thread thread : threads) {
      thread.join();
    }
    members.forEach(member -> member.network().channels().shutdown());
    firstNetwork.channels().shutdown();
  }

  private EventLoop loop(int loopIndex) {
    return members.get(loopIndex).network().loop();
  }

  // ---- Tenants
  // --------------------------------------------------------------------------------

  void apply(TenantSpec spec, LongConsumer inForce) {
    Home home = homes.get(spec.id());
    if (home == null) {
      home = new Home(spec, placement.placeNew(spec.weight()));
      homes.put(spec.id(), home);
    }
    home.spec = spec;
    TenantRegistry there = members.get(home.loopIndex).tenants();
    runOn(home.loopIndex, () -> there.apply(spec, inForce));
  }

  void remove(String id, LongConsumer gone) {
    Home home = homes.remove(id);
    if (home == null) {
      gone.accept(firstNetwork.loop().nowMicros());
      return;
    }
    placement.remove(home.loopIndex, home.spec.weight());
    TenantRegistry there = members.get(home.loopIndex).tenants();
    runOn(home.loopIndex, () -> there.remove(id, gone));
  }

  /** Null is told where there is none of that name. */
  void usage(String id, Consumer<Tenant.Usage> told) {
    Home home = homes.get(id);
    if (home == null) {
      told.accept(null);
      return;
    }
    TenantRegistry there = members.get(home.loopIndex).tenants();
    runOn(home.loopIndex, () -> told.accept(there.usage(id)));
  }

  int loopOf(String id) {
    Home home = homes.get(id);
    return home == null ? -1 : home.loopIndex;
  }

  /** At once on this loop, or as a turn of another. */
  private void runOn(int loopIndex, Runnable task) {
    if (loopIndex == 0) {
      task.run();
    } else {
      loop(loopIndex).post(task);
    }
  }

  /** What all loops hold together. Any thread may ask. */
  CompletableFuture<MultiTenantGateway.HeldResources> heldResources() {
    CompletableFuture<MultiTenantGateway.HeldResources> sum =
        CompletableFuture.completedFuture(
            new MultiTenantGateway.HeldResources(0, 0, new Counters()));
    for (LoopMember member : members) {
      CompletableFuture<MultiTenantGateway.HeldResources> one = new CompletableFuture<>();
      Network network = member.network();
      network
          .loop()
          .post(
              () -> {
                Counters copy = new Counters();
                copy.addAll(network.counters());
                one.complete(
                    new MultiTenantGateway.HeldResources(
                        network.loop().deadlineCount(), network.budget().held(), copy));
              });
      sum =
          sum.thenCombine(
              one,
              (total, ofOneLoop) -> {
                total.counters().addAll(ofOneLoop.counters());
                return new MultiTenantGateway.HeldResources(
                    total.deadlines() + ofOneLoop.deadlines(),
                    ofOneLoop.bufferBytes(),
                    total.counters());
              });
    }
    return sum;
  }

  /**
   * Tenants that a client names, and that are not here, are looked up by this; those unused for
   * long are forgotten.
   */
  void lookUpWith(Function<String, CompletableFuture<Boolean>> finder, Consumer<String> forgetter) {
    tenantFinder = finder;
    tenantForgetter = forgetter;
    firstNetwork.loop().post(this::forgetUnused);
  }

  private void forgetUnused() {
    long now = firstNetwork.loop().nowMicros();
    List<String> unused = new ArrayList<>();
    homes.forEach(
        (id, home) -> {
          boolean alone =
              home.loopIndex == 0 ? members.get(0).tenants().hasNoClients(id) : home.clients == 0;
          home.usedAtMicros = alone && home.usedAtMicros > 0 ? home.usedAtMicros : now;
          if (now - home.usedAtMicros > FORGET_AFTER_MICROS) {
            unused.add(id);
          }
        });
    unused.forEach(tenantForgetter);
    firstNetwork.loop().scheduleAt(now + FORGET_AFTER_MICROS / 10, this::forgetUnused);
  }

  @Override
  public boolean lookUp(
      Map<String, String> startup, FrontendConnections here, Consumer<ProtocolException> then) {
    String name = TenantRegistry.nameIn(startup);
    if (tenantFinder == null || homes.containsKey(name)) {
      return false;
    }
    tenantFinder
        .apply(name)
        .whenComplete(
            (found, failure) ->
                firstNetwork.loop().post(() -> then.accept(lookUpFailure(failure))));
    return true;
  }

  private static ProtocolException lookUpFailure(Throwable failure) {
    String text = "whether there is such a database can't be told now";
    return failure == null ? null : new ProtocolException(SqlState.CANNOT_CONNECT_NOW, text);
  }

  @Override
  public FrontendConnections connectionsFor(Map<String, String> startup, FrontendConnections here) {
    Home home = homes.get(TenantRegistry.nameIn(startup));
    if (home == null || members.size() == 1) {
      return here; // who names nobody is told so here
    }
    boolean alone =
        home.clients == 0
            && (home.loopIndex > 0 || members.get(0).tenants().hasNoClients(home.spec.id()));
    if (alone) {
      placeActivated(home);
    }
    if (home.loopIndex == 0) {
      return here;
    }
    home.clients++;
    return clients.get(home.loopIndex);
  }

  @Override
  public void onConnectionClosed(Map<String, String> startup, FrontendConnections there) {
    Home home = homes.get(TenantRegistry.nameIn(startup));
    // One that was removed meanwhile, and came again, has other clients; none of them is counted
    // twice.
    if (home != null && clients.get(home.loopIndex) == there && home.clients > 0) {
      home.clients--;
    }
  }

  /** Chooses a home for a tenant whose first client has come. */
  private void placeActivated(Home home) {
    long[] worked = new long[members.size()];
    for (int i = 0; i < worked.length; i++) {
      worked[i] = loop(i).busyMicros();
    }
    placement.recordBusyTime(worked, firstNetwork.loop().nowMicros());
    int oldLoopIndex = home.loopIndex;
    home.loopIndex = placement.placeResumed(oldLoopIndex, home.spec.weight());
    if (home.loopIndex == oldLoopIndex) {
      return;
    }
    TenantSpec spec = home.spec;
    TenantRegistry left = members.get(oldLoopIndex).tenants();
    TenantRegistry next = members.get(home.loopIndex).tenants();
    int newLoopIndex = home.loopIndex;
    firstNetwork
        .log()
        .println(
            "tenant " + spec.id() + " moves from loop " + oldLoopIndex + " to " + newLoopIndex);
    CompletableFuture<Runnable> arrived = new CompletableFuture<>();
    runOn(newLoopIndex, () -> arrived.complete(next.migrateIn(spec)));
    runOn(
        oldLoopIndex,
        () ->
            left.remove(
                spec.id(), atMicros -> arrived.thenAccept(over -> loop(newLoopIndex).post(over))));
  }

  @Override
  public boolean requiresPassword(Map<String, String> startup) {
    return members.get(0).tenants().requiresPassword(startup);
  }

  @Override
  public RequestHandler authenticate(Map<String, String> startup) throws ProtocolException {
    return members.get(0).tenants().authenticate(startup);
  }

  @Override
  public RequestHandler authenticate(Map<String, String> startup, byte[] password)
      throws ProtocolException {
    return members.get(0).tenants().authenticate(startup, password);
  }

  // ---- Stopping
  // --------------------------------------------------------------------------------

  /** Has the other loops drain, and says whether, when last asked, nothing was open on any. */
  boolean isDrained() {
    boolean all = members.get(0).tenants().hasNoOpenRequests();
    for (int i = 1; i < members.size(); i++) {
      int loopIndex = i;
      loop(i)
          .post(
              () -> {
                clients.get(loopIndex).drain();
                boolean empty =
                    clients.get(loopIndex).isEmpty()
                        && members.get(loopIndex).tenants().hasNoOpenRequests();
                firstNetwork.loop().post(() -> drained[loopIndex] = empty);
              });
      all &= drained[i];
    }
    return all;
  }

  /** Closes the tenants of all loops and ends the others' turns. */
  void close() {
    members.get(0).tenants().close(CloseReason.DRAINED);
    for (int i = 1; i < members.size(); i++) {
      LoopMember member = members.get(i);
      loop(i)
          .post(
              () -> {
                member.tenants().close(CloseReason.DRAINED);
                firstNetwork.log().println(member.network().counters());
                member.network().loop().stop();
              });
    }
  }
}
