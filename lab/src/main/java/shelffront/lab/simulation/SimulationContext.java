package shelffront.lab.simulation;

import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import shelffront.lab.invariants.InvariantChecker;
import shelffront.lab.virtual.VirtualNetwork;
import shelffront.lab.virtual.VirtualTimeScheduler;
import shelffront.routing.RequestClass;

/**
 * The state shared by all parts of one simulation: scenario, random source, virtual time and
 * network, checker and trace. Single-threaded. The order in which the parts draw random numbers is
 * part of the run: moving a draw changes all draws after it.
 */
record SimulationContext(
    Scenario scenario,
    UniformRandomProvider random,
    VirtualTimeScheduler scheduler,
    VirtualNetwork network,
    List<RequestClass> requestClasses,
    InvariantChecker checker,
    EventTrace trace) {

  /** Start time in Unix microseconds; arbitrary, but the same in each run. */
  static final long START_MICROS = 1_800_000_000_000_000L;

  private static final int SEED_FACTOR = 31;
  private static final int SEED_OFFSET = 7;

  static SimulationContext create(Scenario scenario, Consumer<String> traceListener) {
    VirtualTimeScheduler scheduler = new VirtualTimeScheduler(START_MICROS);
    UniformRandomProvider random =
        RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed() * SEED_FACTOR + SEED_OFFSET);
    RandomDeployment deployment = scenario.deployment();
    return new SimulationContext(
        scenario,
        random,
        scheduler,
        new VirtualNetwork(scheduler, fork(random), scenario.weather()),
        deployment.requestClasses(),
        new InvariantChecker(deployment.carried(), deployment.copies()),
        new EventTrace(scheduler, START_MICROS, traceListener));
  }

  /** Creates an independent random source, whose draws do not affect those of other parts. */
  UniformRandomProvider fork() {
    return fork(random);
  }

  private static UniformRandomProvider fork(UniformRandomProvider random) {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
  }

  long nowMicros() {
    return scheduler.nowMicros();
  }

  RequestClass requestClass(String name) {
    return requestClasses.stream()
        .filter(requestClass -> requestClass.name().equals(name))
        .findFirst()
        .orElseThrow();
  }
}
