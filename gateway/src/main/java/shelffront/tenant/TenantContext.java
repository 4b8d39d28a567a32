package shelffront.tenant;

import shelffront.net.EventLoop;
import shelffront.net.Network;

/**
 * State shared by the components of one tenant: its specification, its lifecycle state and its view
 * of the network. Only {@link Tenant} changes it. Confined to the event loop.
 */
final class TenantContext {

  private final Network network;
  private final EventLoop loop;
  private TenantSpec spec;
  private TenantState state = TenantState.SUSPENDED;

  TenantContext(Network network, TenantSpec spec) {
    this.network = network;
    this.loop = network.loop();
    this.spec = spec;
  }

  Network network() {
    return network;
  }

  EventLoop loop() {
    return loop;
  }

  long nowMicros() {
    return loop.nowMicros();
  }

  TenantSpec spec() {
    return spec;
  }

  void setSpec(TenantSpec next) {
    spec = next;
  }

  TenantState state() {
    return state;
  }

  void setState(TenantState next) {
    state = next;
  }
}
