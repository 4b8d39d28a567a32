package shelffront.multitenant;

import java.util.concurrent.CompletableFuture;
import shelffront.frontend.FrontendConnections;
import shelffront.net.CloseReason;
import shelffront.net.Counters;
import shelffront.net.Network;
import shelffront.tenant.TenantRegistry;
import shelffront.time.ShutdownSchedule;

/**
 * One event loop of an {@link EventLoopGroup} with the tenants that it serves. Methods run on this
 * loop unless stated otherwise.
 */
record LoopMember(Network network, TenantRegistry tenants) {

  /** Continues a drain; returns whether no connection and no request is open on this loop. */
  boolean drain(FrontendConnections clients, ShutdownSchedule schedule) {
    clients.drain(schedule);
    boolean drained = tenants.drain(schedule);
    return drained && clients.isEmpty();
  }

  /** Closes the tenants, logs the counters and stops the loop. */
  void stop() {
    tenants.close(CloseReason.DRAINED);
    network.log().println(network.counters());
    network.loop().stop();
  }

  /** Returns the resources that the loop holds. Any thread may call. */
  CompletableFuture<MultiTenantGateway.HeldResources> heldResources() {
    CompletableFuture<MultiTenantGateway.HeldResources> resources = new CompletableFuture<>();
    network
        .loop()
        .post(
            () -> {
              Counters copy = new Counters();
              copy.addAll(network.counters());
              resources.complete(
                  new MultiTenantGateway.HeldResources(
                      network.loop().deadlineCount(), network.budget().held(), copy));
            });
    return resources;
  }
}
