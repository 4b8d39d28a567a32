package shelffront.tenant;

import shelffront.net.EventLoop;
import shelffront.net.Network;

/**
 * What the parts of one tenant share: its specification, its state and its view of the network.
 * {@link Tenant} alone changes them. On the loop thread.
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
