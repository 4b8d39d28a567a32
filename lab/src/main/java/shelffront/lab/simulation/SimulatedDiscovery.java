package shelffront.lab.simulation;

import java.io.IOException;
import java.net.InetSocketAddress;
import shelffront.config.EndpointList;
import shelffront.config.JsonReader;
import shelffront.config.MalformedInputException;
import shelffront.lab.emulator.DiscoveryEmulator;

/** The discovery service of a simulation, at two addresses, with the delay of pushed updates. */
final class SimulatedDiscovery {

  /** After this time a pushed update has reached the agents of all gateways. */
  static final long PUSH_DELAY_MICROS = 1_000_000;

  private final SimulationContext context;
  private final DiscoveryEmulator emulator;
  private final InetSocketAddress secondAddress;
  private long delayedUntilMicros;

  /** Listens at two new addresses; {@code listener} is notified of each update that is sent. */
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
      throw new IllegalStateException(
          "discovery failed to listen on the virtual network at "
              + firstAddress
              + " or "
              + secondAddress,
          e);
    }
  }

  InetSocketAddress address() {
    return emulator.address();
  }

  /** Returns the other one of the two addresses. */
  InetSocketAddress alternative(InetSocketAddress current) {
    return current.equals(emulator.address()) ? secondAddress : emulator.address();
  }

  void publish(DiscoveryEmulator.EndpointLine line, long delayMicros) {
    emulator.publish(line, delayMicros);
  }

  void breakWatches() {
    emulator.breakWatches();
  }

  /** Takes discovery down for {@code durationMicros}; agents may miss pushed updates meanwhile. */
  void takeDown(long durationMicros) {
    emulator.setDown(true);
    delayedUntilMicros =
        Math.max(delayedUntilMicros, context.nowMicros() + durationMicros + PUSH_DELAY_MICROS);
    context.scheduler().after(durationMicros, () -> emulator.setDown(false));
  }

  /** Whether agents may lack pushed updates because discovery was down. */
  boolean mayBeDelayed() {
    return context.nowMicros() <= delayedUntilMicros;
  }

  /** Returns the complete current endpoint list, as an administrator copies it into a tenant. */
  EndpointList currentList() {
    try {
      return EndpointList.read(JsonReader.parseObject(emulator.currentList().toString()));
    } catch (MalformedInputException e) {
      throw new IllegalStateException("the gateway cannot parse the endpoint list of discovery", e);
    }
  }
}
