package shelffront.lab.simulation;

import java.io.IOException;
import java.net.InetSocketAddress;
import shelffront.config.EndpointList;
import shelffront.config.JsonReader;
import shelffront.config.MalformedInputException;
import shelffront.lab.emulator.DiscoveryEmulator;

/** The fleet's endpoint list at its two addresses, and how long updates may be delayed. */
final class SimulatedDiscovery {

  /** After this time a pushed update has reached the agents of all gateways. */
  static final long PUSH_DELAY_MICROS = 1_000_000;

  private final SimulationContext context;
  private final DiscoveryEmulator emulator;
  private final InetSocketAddress secondAddress;
  private long delayedUntilMicros;

  /** Listens at two new addresses; each update sent to a gateway is told to the listener. */
  SimulatedDiscovery(SimulationContext context, DiscoveryEmulator.UpdateListener listener) {
    this.context = context;
    InetSocketAddress firstAddress = context.network().newAddress();
    secondAddress = context.network().newAddress();
    try {
      emulator =
          new DiscoveryEmulator(
              context.network().transportOn(context.network().machine("catalogue")),
              firstAddress,
              listener);
      emulator.listen(secondAddress);
    } catch (IOException e) {
      throw new IllegalStateException("the virtual network takes every listener", e);
    }
  }

  InetSocketAddress address() {
    return emulator.address();
  }

  /** The one of the two addresses that this is not. */
  InetSocketAddress alternative(InetSocketAddress current) {
    return current.equals(emulator.address()) ? secondAddress : emulator.address();
  }

  void publish(DiscoveryEmulator.EndpointLine line, long delayMicros) {
    emulator.publish(line, delayMicros);
  }

  void breakWatches() {
    emulator.breakWatches();
  }

  /** Discovery is away for a while; the agents that hold a pushed list may lack its updates. */
  void takeDown(long durationMicros) {
    emulator.setDown(true);
    delayedUntilMicros =
        Math.max(delayedUntilMicros, context.nowMicros() + durationMicros + PUSH_DELAY_MICROS);
    context.scheduler().after(durationMicros, () -> emulator.setDown(false));
  }

  /** Whether pushed updates may be missing at the agents because discovery was away. */
  boolean mayBeDelayed() {
    return context.nowMicros() <= delayedUntilMicros;
  }

  /** The whole list as of now: what an administrator copies from it when setting a tenant. */
  EndpointList currentList() {
    try {
      return EndpointList.read(JsonReader.parseObject(emulator.currentList().toString()));
    } catch (MalformedInputException e) {
      throw new IllegalStateException("discovery gives what the gateway can't read", e);
    }
  }
}
