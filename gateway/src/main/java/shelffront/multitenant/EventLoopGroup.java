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
import shelffront.gateway.DrainableTenants;
import shelffront.gateway.Gateway;
import shelffront.net.CloseReason;
import shelffront.net.Counters;
import shelffront.net.EventLog;
import shelffront.net.EventLoop;
import shelffront.net.Network;
import shelffront.net.ResourceBudget;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;
import shelffront.pg.StartupParameters;
import shelffront.quota.ConnectionQuotas;
import shelffront.quota.EventLoopPlacement;
import shelffront.quota.SharedCapacity;
import shelffront.quota.TenantQuotas;
import shelffront.tenant.Tenant;
import shelffront.tenant.TenantRegistry;
import shelffront.tenant.TenantSpec;
import shelffront.time.ShutdownSchedule;

/**
 * The event loops of a multi-tenant gateway. The first loop owns the listener and the assignment of
 * tenants to loops. A connection is handed over to the loop of its tenant once the startup message
 * has named the tenant. The connections, requests, router and timers of a tenant are confined to
 * its loop. Loops never wait for each other but post tasks to each other.
 *
 * <p>A tenant that is resumed while it has no client on any loop may be assigned to another loop.
 * There it gets a new router, which covers the writes accepted by the previous router in session
 * reads.
 *
 * <p>Methods run on the thread of the first loop unless stated otherwise.
 */
final class EventLoopGroup implements TenantLookup, DrainableTenants {

  /** Time without clients after which a tenant provided by distribution is evicted. */
  private static final long UNUSED_TENANT_TIMEOUT_MICROS = 600_000_000;

  private final List<LoopMember> members = new ArrayList<>();
  private final List<FrontendConnections> frontends = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final Map<String, LoopAssignment> assignments = new HashMap<>();
  private final EventLoopPlacement loopPlacement;
  private final Network firstNetwork;
  private final boolean[] drained;
  // Null if all tenants are known locally.
  private Function<String, CompletableFuture<Boolean>> tenantFinder;
  private Consumer<String> tenantEvictor;

  EventLoopGroup(MultiTenantConfig config, EventLog log, GatewayEnvironment environment)
      throws IOException {
    SharedCapacity sharedCapacity =
        new SharedCapacity(
            config.capacity().requestsPerSecond(),
            config.capacity().openRequests(),
            config.cores());
    ResourceBudget buffers = new ResourceBudget(config.bufferBytes());
    ConnectionQuotas hostConnectionQuotas =
        new ConnectionQuotas(Gateway.hostConnectionLimit(config.sockets()));
    drained = new boolean[config.cores()];
    for (int i = 0; i < config.cores(); i++) {
      Counters counters = new Counters();
      EventLoop loop = new EventLoop(environment.clock(), counters);
      Network network = Network.open(loop, environment.channels().open(1), buffers, counters, log);
      TenantRegistry tenants =
          new TenantRegistry(
              network,
              new TenantQuotas(sharedCapacity, i, loop.nowMicros()),
              hostConnectionQuotas,
              environment.seed() + ((long) i << 20));
      members.add(new LoopMember(network, tenants));
    }
    Network first = members.get(0).network();
    loopPlacement = new EventLoopPlacement(members.size(), first.loop().nowMicros());
    firstNetwork =
        members.size() == 1
            ? first
            : first.withChannels(environment.channels().open(members.size()));
  }

  /** Returns the network of the first loop, which the listener uses. */
  Network firstNetwork() {
    return firstNetwork;
  }

  /** Returns the networks of all loops, the first loop's first. */
  List<Network> networks() {
    return members.stream().map(LoopMember::network).toList();
  }

  /** Assigns the frontend that has the listener to the first loop; creates one for each other. */
  void addFrontends(FrontendConnections firstFrontend) {
    frontends.add(firstFrontend);
    for (LoopMember member : members.subList(1, members.size())) {
      frontends.add(new FrontendConnections(member.network(), member.tenants()));
    }
  }

  /** Starts a thread for every loop except the first, which the caller runs. */
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
   * Waits for the threads of the other loops and shuts down the channels of all loops. Called by
   * the thread that ran the first loop, after it has ended.
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

  void apply(TenantSpec spec, LongConsumer onInForce) {
    LoopAssignment assignment = assignments.get(spec.id());
    if (assignment == null) {
      assignment = new LoopAssignment(spec, loopPlacement.placeNew(spec.weight()));
      assignments.put(spec.id(), assignment);
    }
    assignment.spec = spec;
    TenantRegistry registry = members.get(assignment.loopIndex).tenants();
    runOn(assignment.loopIndex, () -> registry.apply(spec, onInForce));
  }

  void remove(String id, LongConsumer onRemoved) {
    LoopAssignment assignment = assignments.remove(id);
    if (assignment == null) {
      onRemoved.accept(firstNetwork.loop().nowMicros());
      return;
    }
    loopPlacement.remove(assignment.loopIndex, assignment.spec.weight());
    TenantRegistry registry = members.get(assignment.loopIndex).tenants();
    runOn(assignment.loopIndex, () -> registry.remove(id, onRemoved));
  }

  /** Passes the usage of a tenant to the callback, on its loop; null if the tenant is unknown. */
  void usage(String id, Consumer<Tenant.Usage> callback) {
    LoopAssignment assignment = assignments.get(id);
    if (assignment == null) {
      callback.accept(null);
      return;
    }
    TenantRegistry registry = members.get(assignment.loopIndex).tenants();
    runOn(assignment.loopIndex, () -> callback.accept(registry.usage(id)));
  }

  int loopOf(String id) {
    LoopAssignment assignment = assignments.get(id);
    return assignment == null ? -1 : assignment.loopIndex;
  }

  /** Runs a task at once if it is for the first loop, otherwise posts it to its loop. */
  private void runOn(int loopIndex, Runnable task) {
    if (loopIndex == 0) {
      task.run();
    } else {
      loop(loopIndex).post(task);
    }
  }

  /** Returns the resources held by all loops together. Any thread may call. */
  CompletableFuture<MultiTenantGateway.HeldResources> heldResources() {
    CompletableFuture<MultiTenantGateway.HeldResources> sum =
        CompletableFuture.completedFuture(
            new MultiTenantGateway.HeldResources(0, 0, new Counters()));
    for (LoopMember member : members) {
      sum = sum.thenCombine(member.heldResources(), MultiTenantGateway.HeldResources::plusLoop);
    }
    return sum;
  }

  /**
   * Enables the lookup of unknown tenants and the eviction of unused ones.
   *
   * @param finder looks up a tenant by id and completes with whether it exists; must not block
   * @param evictor receives the id of each tenant without clients for {@link
   *     #UNUSED_TENANT_TIMEOUT_MICROS}
   */
  void enableLookup(Function<String, CompletableFuture<Boolean>> finder, Consumer<String> evictor) {
    tenantFinder = finder;
    tenantEvictor = evictor;
    firstNetwork.loop().post(this::evictUnused);
  }

  private void evictUnused() {
    long now = firstNetwork.loop().nowMicros();
    List<String> unused = new ArrayList<>();
    assignments.forEach(
        (id, assignment) -> {
          boolean hasNoClients =
              assignment.loopIndex == 0
                  ? members.get(0).tenants().hasNoClients(id)
                  : assignment.clientConnections == 0;
          assignment.lastUsedAtMicros =
              hasNoClients && assignment.lastUsedAtMicros > 0 ? assignment.lastUsedAtMicros : now;
          if (now - assignment.lastUsedAtMicros > UNUSED_TENANT_TIMEOUT_MICROS) {
            unused.add(id);
          }
        });
    unused.forEach(tenantEvictor);
    firstNetwork.loop().scheduleAt(now + UNUSED_TENANT_TIMEOUT_MICROS / 10, this::evictUnused);
  }

  @Override
  public boolean lookUp(
      StartupParameters startup, FrontendConnections here, Consumer<ProtocolException> callback) {
    String name = startup.database();
    if (tenantFinder == null || assignments.containsKey(name)) {
      return false;
    }
    tenantFinder
        .apply(name)
        .whenComplete(
            (found, failure) ->
                firstNetwork.loop().post(() -> callback.accept(lookUpFailure(failure))));
    return true;
  }

  private static ProtocolException lookUpFailure(Throwable failure) {
    String text = "whether there is such a database can't be told now";
    return failure == null ? null : new ProtocolException(SqlState.CANNOT_CONNECT_NOW, text);
  }

  @Override
  public FrontendConnections connectionsFor(StartupParameters startup, FrontendConnections here) {
    LoopAssignment assignment = assignments.get(startup.database());
    if (assignment == null || members.size() == 1) {
      return here; // the first loop rejects clients of unknown tenants
    }
    boolean hasNoClients =
        assignment.clientConnections == 0
            && (assignment.loopIndex > 0
                || members.get(0).tenants().hasNoClients(assignment.spec.id()));
    if (hasNoClients) {
      reassignResumed(assignment);
    }
    if (assignment.loopIndex == 0) {
      return here;
    }
    assignment.clientConnections++;
    return frontends.get(assignment.loopIndex);
  }

  @Override
  public void onConnectionClosed(StartupParameters startup, FrontendConnections there) {
    LoopAssignment assignment = assignments.get(startup.database());
    // The tenant may have been removed and added again since, with a new assignment that does not
    // count this connection. The count is therefore decremented only if the loop matches and the
    // count is positive.
    if (assignment != null
        && frontends.get(assignment.loopIndex) == there
        && assignment.clientConnections > 0) {
      assignment.clientConnections--;
    }
  }

  /** Selects the loop of a tenant whose first client connects; migrates the tenant if needed. */
  private void reassignResumed(LoopAssignment assignment) {
    long[] busyMicros = new long[members.size()];
    for (int i = 0; i < busyMicros.length; i++) {
      busyMicros[i] = loop(i).busyMicros();
    }
    loopPlacement.recordBusyTime(busyMicros, firstNetwork.loop().nowMicros());
    int oldLoopIndex = assignment.loopIndex;
    assignment.loopIndex = loopPlacement.placeResumed(oldLoopIndex, assignment.spec.weight());
    if (assignment.loopIndex == oldLoopIndex) {
      return;
    }
    TenantSpec spec = assignment.spec;
    TenantRegistry oldRegistry = members.get(oldLoopIndex).tenants();
    TenantRegistry newRegistry = members.get(assignment.loopIndex).tenants();
    int newLoopIndex = assignment.loopIndex;
    firstNetwork
        .log()
        .println(
            "event loops: migrating tenant "
                + spec.id()
                + " from loop "
                + oldLoopIndex
                + " to loop "
                + newLoopIndex);
    CompletableFuture<Runnable> migrated = new CompletableFuture<>();
    runOn(newLoopIndex, () -> migrated.complete(newRegistry.migrateIn(spec)));
    runOn(
        oldLoopIndex,
        () -> {
          forwardRoleReports(spec.id(), oldRegistry, newLoopIndex);
          oldRegistry.remove(
              spec.id(), atMicros -> migrated.thenAccept(task -> loop(newLoopIndex).post(task)));
        });
  }

  /**
   * Passes what hosts tell the router of a tenant about their roles to its new loop. Reports that
   * came before this call may have been missed there. Runs on the loop of that router.
   */
  private void forwardRoleReports(String id, TenantRegistry oldRegistry, int newLoopIndex) {
    EventLoop newLoop = loop(newLoopIndex);
    TenantRegistry newRegistry = members.get(newLoopIndex).tenants();
    oldRegistry.forwardRoleReports(
        id,
        (endpointId, report) ->
            newLoop.post(() -> newRegistry.onPredecessorReport(id, endpointId, report)));
    newLoop.post(() -> newRegistry.onRoleReportsMissed(id));
  }

  @Override
  public boolean requiresPassword(StartupParameters startup) {
    return members.get(0).tenants().requiresPassword(startup);
  }

  @Override
  public RequestHandler authenticate(StartupParameters startup) throws ProtocolException {
    return members.get(0).tenants().authenticate(startup);
  }

  @Override
  public RequestHandler authenticate(StartupParameters startup, byte[] password)
      throws ProtocolException {
    return members.get(0).tenants().authenticate(startup, password);
  }

  // ---- Stopping

  @Override
  public long longestDeadlineMicros() {
    return assignments.values().stream()
        .mapToLong(assignment -> assignment.spec.settings().longestDeadlineMicros())
        .max()
        .orElse(0);
  }

  /**
   * Requests every other loop to drain. Returns whether the first loop has no open request and the
   * others had no connection or open request when they last replied.
   */
  @Override
  public boolean drain(ShutdownSchedule schedule) {
    boolean all = members.get(0).tenants().drain(schedule);
    for (int i = 1; i < members.size(); i++) {
      int loopIndex = i;
      loop(i)
          .post(
              () -> {
                boolean done = members.get(loopIndex).drain(frontends.get(loopIndex), schedule);
                firstNetwork.loop().post(() -> drained[loopIndex] = done);
              });
      all &= drained[i];
    }
    return all;
  }

  /** Closes the tenants of all loops and stops the other loops. */
  @Override
  public void close() {
    members.get(0).tenants().close(CloseReason.DRAINED);
    for (int i = 1; i < members.size(); i++) {
      loop(i).post(members.get(i)::stop);
    }
  }
}
