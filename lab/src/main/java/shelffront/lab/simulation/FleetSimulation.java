package shelffront.lab.simulation;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import shelffront.backend.BackendConnections.Login;
import shelffront.config.EndpointList;
import shelffront.config.GatewayConfig;
import shelffront.config.JsonReader;
import shelffront.config.MalformedInputException;
import shelffront.gateway.Gateway;
import shelffront.lab.emulator.DiscoveryEmulator;
import shelffront.lab.emulator.EmulatedHostConnection;
import shelffront.lab.emulator.HostEnvironment;
import shelffront.lab.invariants.InvariantChecker;
import shelffront.lab.invariants.InvariantChecker.Asked;
import shelffront.lab.invariants.InvariantChecker.Rule;
import shelffront.lab.model.Clock;
import shelffront.lab.model.ReplicaSetModel;
import shelffront.lab.model.ReplicaSetModel.Answer;
import shelffront.lab.model.ReplicaSetModel.Box;
import shelffront.lab.model.ReplicaSetModel.Effect;
import shelffront.lab.model.ReplicaSetModel.Kind;
import shelffront.lab.model.ReplicaSetModel.Query;
import shelffront.lab.simulation.Scenario.Fault;
import shelffront.lab.simulation.Scenario.Means;
import shelffront.lab.transport.TransportConnection;
import shelffront.lab.virtual.SimulatedMachine;
import shelffront.lab.virtual.SimulatedSocket;
import shelffront.lab.virtual.VirtualChannels;
import shelffront.lab.virtual.VirtualNetwork;
import shelffront.lab.virtual.VirtualTimeScheduler;
import shelffront.multitenant.GatewayEnvironment;
import shelffront.multitenant.MultiTenantConfig;
import shelffront.multitenant.MultiTenantGateway;
import shelffront.net.Counters;
import shelffront.net.EventLog;
import shelffront.net.EventLoop;
import shelffront.net.Network;
import shelffront.net.ResourceBudget;
import shelffront.pg.ProtocolException;
import shelffront.pg.Statement;
import shelffront.routing.Consistency;
import shelffront.routing.LoadReportSource;
import shelffront.routing.RequestClass;
import shelffront.tenant.TenantSpec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * A fleet of gateways with their sets, clients and list of boxes, in virtual time: the gateways are
 * the program's own classes on channels that exist in memory. One thread; the same scenario gives
 * the same run to the byte.
 */
public final class FleetSimulation {

  /** Unix microseconds at the start: any time, but the same each run. */
  private static final long START = 1_800_000_000_000_000L;

  private static final long LAST_DEADLINE = 3_500_000;
  private static final long LAST_ARRIVALS = 400_000;

  /** What a box tells of its role counts as known so long after it was written. */
  private static final long KNOWN_AFTER = 100_000;

  private static final long DRAIN_TIME = 8_000_000;

  /** A pushed list is at the gateways' agents by then. */
  private static final long PUSHED_AFTER = 1_000_000;

  private static final int GARBAGE = 40;
  private static final int HICCUPS = 20;
  private static final long BUFFERS = 32L << 20;

  /** What a class came to. */
  public record Worth(
      long asked, long onTime, long late, long refused, long failed, long unanswered) {}

  /** Windows of a run in which worth is counted, in microseconds. */
  public static final long WINDOW = 250_000;

  /**
   * How a run ended: broken rules, what classes came to, its size, and a hash over all that
   * happened.
   *
   * @param wanted worth asked for in each window
   * @param kept of that, the worth that was answered within the classes' aims
   * @param latency microseconds from asking to a served answer
   */
  public record Result(
      List<InvariantChecker.Violation> violations,
      int violationCount,
      Map<String, Worth> worth,
      double worthKept,
      double[] wanted,
      double[] kept,
      Histogram latency,
      long events,
      long requests,
      String hash) {}

  /** A gateway's process. */
  private final class Process {

    private final int index;
    private final SimulatedMachine machine;
    private final VirtualChannels channels;
    private final List<Network> networks;
    private final Gateway gateway; // null where it is hosted
    private final MultiTenantGateway hosted; // or null
    private GatewayConfig config;
    private long worked;
    private long skew;
    private long pausedUntil;
    private boolean dead;
    private boolean stopping;
    private long stopAt;

    private Process(int index, SimulatedMachine machine) {
      this.index = index;
      this.machine = machine;
      channels = new VirtualChannels(net, machine, scenario.means().sockets());
      EventLog log = line -> traced("log", "g" + index, String.valueOf(line), "");
      try {
        config =
            new GatewayConfig(
                "n" + index,
                gatewayAddresses.get(index),
                catalogue.address(),
                random.nextLong(),
                scenario.means().sockets(),
                20_000,
                scenario
                    .deployment()
                    .settings(
                        index,
                        scenario.gateways() * Math.max(1, scenario.means().tenants()),
                        scenario.figures()),
                listNow());
        if (scenario.means().tenants() > 0) {
          hosted = host(log);
          gateway = null;
          networks = hosted.networks();
          networks.get(0).loop().post(hosted::begin);
        } else {
          Counters counters = new Counters();
          EventLoop loop = new EventLoop(() -> scheduler.now() + skew, counters);
          Network network =
              Network.open(loop, channels, new ResourceBudget(BUFFERS), counters, log);
          hosted = null;
          gateway = variant.apply(new Start(network, config, channels));
          networks = List.of(network);
          loop.post(gateway::start);
        }
      } catch (IOException | SpecException e) {
        throw new IllegalStateException("the virtual network takes every listener", e);
      }
    }

    private MultiTenantGateway host(EventLog log) throws IOException, SpecException {
      Means means = scenario.means();
      MultiTenantGateway made =
          new MultiTenantGateway(
              new MultiTenantConfig(
                  config.listenAddress(),
                  null,
                  null,
                  means.loops(),
                  means.sockets(),
                  BUFFERS,
                  0,
                  4000,
                  List.of()),
              log,
              new GatewayEnvironment(() -> scheduler.now() + skew, n -> channels, config.seed()));
      for (int i = 0; i < means.tenants(); i++) {
        made.apply(spec(i, 1, Set.of()), at -> {});
      }
      return made;
    }

    private TenantSpec spec(int tenant, double weight, Set<String> drained) {
      return new TenantSpec(
          tenantName(tenant),
          weight,
          new double[0],
          new TenantSpec.Bounds(0, 0, 2000, 1000, 1000, BUFFERS),
          config.settings(),
          new Login("api", "ledger"),
          config.discoveryAddress(),
          listNow(),
          drained,
          List.of(),
          1_000_000);
    }

    /** What an administrator copies from the list when setting a tenant. */
    private EndpointList listNow() {
      try {
        return EndpointList.read(JsonReader.parseObject(catalogue.whole().toString()));
      } catch (MalformedInputException e) {
        throw new IllegalStateException("the catalogue gives what the gateway can't read", e);
      }
    }

    private void drain() {
      if (hosted != null) {
        hosted.drain();
      } else {
        networks.get(0).loop().post(gateway::drain);
      }
    }

    private boolean isStopped() {
      return networks.stream().allMatch(n -> n.loop().isStopped());
    }

    private long count(Counters.Name name) {
      return networks.stream().mapToLong(n -> n.counters().get(name)).sum();
    }

    private long nextTurn() {
      if (dead) {
        return Long.MAX_VALUE;
      }
      long due = Long.MAX_VALUE;
      for (Network n : networks) {
        due = Math.min(due, due(n.loop()));
      }
      return Math.max(due, pausedUntil);
    }

    /** When a loop has something to do, on the scheduler's clock. */
    private long due(EventLoop loop) {
      long deadline = loop.nextDeadlineMicros();
      return loop.isStopped()
          ? Long.MAX_VALUE
          : loop.isReady() ? 0 : deadline == Long.MAX_VALUE ? deadline : deadline - skew;
    }

    /**
     * A turn of each loop that has something to do, and the time that they take, as if of one core.
     */
    private void turn() {
      for (Network n : networks) {
        if (due(n.loop()) <= scheduler.now()) {
          n.loop().runTurn();
        }
      }
      long work = scenario.means().work();
      if (work > 0) {
        long all = 0;
        for (Counters.Name name : COSTLY) {
          all += count(name);
        }
        pausedUntil = Math.max(pausedUntil, scheduler.now() + (all - worked) * work);
        worked = all;
      }
    }

    /** SIGHUP with a file that names discovery's other address. */
    private void reload() {
      InetSocketAddress other =
          config.discoveryAddress().equals(catalogue.address())
              ? otherDiscovery
              : catalogue.address();
      config =
          new GatewayConfig(
              config.name(),
              config.listenAddress(),
              other,
              config.seed(),
              config.maxSockets(),
              config.maxOpenRequests(),
              config.settings(),
              config.knownEndpoints());
      networks.get(0).loop().post(() -> gateway.reload(config));
    }
  }

  /** What costs a gateway CPU, a piece each. */
  private static final Set<Counters.Name> COSTLY =
      EnumSet.of(
          Counters.Name.REQUESTS_TAKEN,
          Counters.Name.ATTEMPTS_SENT,
          Counters.Name.PROBES_SENT,
          Counters.Name.CLIENTS_ACCEPTED,
          Counters.Name.HOST_CONNECTIONS_OPENED,
          Counters.Name.LISTS_HEARD);

  /** What a gateway is made of, for those who put a changed one in its place. */
  public record Start(Network network, GatewayConfig config, VirtualChannels channels) {

    /** The gateway as it is. */
    public Gateway asItIs() {
      return with(config);
    }

    /** The gateway, told something else. */
    public Gateway with(GatewayConfig config) {
      try {
        return new Gateway(network, config);
      } catch (IOException e) {
        throw new IllegalStateException("the virtual network takes every listener", e);
      }
    }
  }

  private final HostEnvironment hosting = new Virtual();
  private final Scenario scenario;
  private final Function<Start, Gateway> variant;
  private final UniformRandomProvider random;
  private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler(START);
  private final VirtualNetwork net;
  private final InvariantChecker auditor;
  private final DiscoveryEmulator catalogue;
  private final List<ReplicaSetModel> sets = new ArrayList<>();
  private final Map<String, Box> boxes = new TreeMap<>();
  private final Map<String, SimulatedMachine> boxMachines = new HashMap<>();
  private final Map<String, InetSocketAddress> boxAddresses = new HashMap<>();
  private final Map<String, Integer> cells = new HashMap<>();
  private final Map<String, Long> spoiling = new HashMap<>();
  private final List<InetSocketAddress> gatewayAddresses = new ArrayList<>();
  private final List<Process> processes = new ArrayList<>();
  private final Map<SimulatedMachine, Integer> gatewayMachines = new HashMap<>();
  private final List<ClientPopulation> crowds = new ArrayList<>();
  private final List<RequestClass> types;
  private final Map<String, Integer> retries = new HashMap<>();
  private final Map<String, InvariantChecker.Try> begun = new HashMap<>();
  private final Map<String, long[]> worth = new TreeMap<>();
  private final Set<Integer> disturbed = new HashSet<>();
  private final Set<String> firstPrimaries = new HashSet<>();
  private long listLateUntil; // the agents that hold a pushed list may lack its changes

  /**
   * Former primaries, and when each gateway was shown by the box itself: before that no rule binds
   * a read there.
   */
  private final Map<String, Long> shownAt = new HashMap<>();

  private final SimulatedMachine rude;
  private final InetSocketAddress otherDiscovery;
  private final MessageDigest hash;
  private final Consumer<String> trace;
  private final double[] wanted;
  private final double[] kept;
  private final Histogram latency = new Histogram(60_000_000L, 3);
  private long startedAt;
  private long requests;
  private int newBoxes;
  private boolean ending;
  private boolean strangers;

  private FleetSimulation(
      Scenario scenario, Function<Start, Gateway> variant, Consumer<String> trace) {
    this.scenario = scenario;
    this.variant = variant;
    this.trace = trace;
    wanted = new double[(int) (scenario.length() / WINDOW) + 1];
    kept = new double[wanted.length];
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed() * 31 + 7);
    net = new VirtualNetwork(scheduler, fork(), scenario.weather());
    types = scenario.deployment().types();
    auditor = new InvariantChecker(scenario.deployment().carried(), scenario.deployment().copies());
    try {
      hash = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
    InetSocketAddress discovery = net.newAddress();
    otherDiscovery = net.newAddress();
    try {
      catalogue =
          new DiscoveryEmulator(
              net.on(net.machine("catalogue")),
              discovery,
              (to, some, complete) ->
                  told(((SimulatedSocket) to).other().machine(), some, complete));
      catalogue.listen(otherDiscovery);
    } catch (IOException e) {
      throw new IllegalStateException("the virtual network takes every listener", e);
    }
    for (int s = 1; s <= scenario.sets(); s++) {
      ReplicaSetModel set =
          new ReplicaSetModel(
              "s" + s, scenario.boxes(), scheduler, fork(), scenario.figures(), new SetWitness());
      sets.add(set);
      for (Box box : set.boxes()) {
        stand(box, s);
        if (box.isPrimary()) {
          firstPrimaries.add(box.id());
        }
        catalogue.change(line(box, "Ready"), 0);
      }
    }
    for (int g = 0; g < scenario.gateways(); g++) {
      gatewayAddresses.add(net.newAddress());
    }
    rude = net.machine("rude");
    if (scenario.means().pauses() > 0) {
      scheduler.after(pauseGap(), this::pauseOne);
    }
  }

  private long pauseGap() {
    return 1 + (long) (2e6 * random.nextDouble() / scenario.means().pauses() / scenario.gateways());
  }

  /** A collection: a gateway does nothing for a while, and what waits for it is late by that. */
  private void pauseOne() {
    if (!processes.isEmpty() && !ending) {
      Process p = processes.get(random.nextInt(processes.size()));
      long time = 5_000 + random.nextLong(55_000);
      p.pausedUntil = Math.max(p.pausedUntil, scheduler.now()) + time;
      disturb(p.index, p.pausedUntil - scheduler.now());
    }
    scheduler.after(pauseGap(), this::pauseOne);
  }

  private UniformRandomProvider fork() {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
  }

  /** Plays a scenario on the gateway as it is. */
  public static Result play(Scenario scenario) {
    return play(scenario, Start::asItIs, line -> {});
  }

  /**
   * Plays a scenario on a gateway that may be a changed one, and tells what happens line by line.
   */
  public static Result play(
      Scenario scenario, Function<Start, Gateway> variant, Consumer<String> trace) {
    return new FleetSimulation(scenario, variant, trace).run();
  }

  // ---- The run
  // --------------------------------------------------------------------------------

  private Result run() {
    long from = START + 300_000;
    until(from); // the list is there
    for (int g = 0; g < scenario.gateways(); g++) {
      SimulatedMachine machine = net.machine("g" + g);
      gatewayMachines.put(machine, g);
      processes.add(new Process(g, machine));
    }
    until(from + 300_000);
    long begin = scheduler.now();
    startedAt = begin;
    for (int g = 0; g < scenario.gateways(); g++) {
      crowds.add(
          new ClientPopulation(
              this,
              g,
              net.machine("c" + g),
              fork(),
              scenario.perSecond() / scenario.gateways(),
              begin + scenario.length()));
    }
    for (Fault fault : scenario.faults()) {
      if (fault.at() < scenario.length()) {
        scheduler.at(begin + fault.at(), () -> strike(fault));
      }
    }
    until(begin + scenario.length() + LAST_DEADLINE);
    crowds.forEach(ClientPopulation::end);
    until(scheduler.now() + 200_000);
    ending = true;
    for (Process p : List.copyOf(processes)) {
      if (!p.dead && !p.stopping) {
        p.stopping = true;
        p.drain();
      }
    }
    until(scheduler.now() + DRAIN_TIME);
    processes.forEach(this::nothingLeft);
    for (Asked a : auditor.asked()) {
      if (!a.isAnswered()) {
        auditor.unanswered(a, scheduler.now(), "was never answered");
      }
    }
    return result();
  }

  private void nothingLeft(Process p) {
    if (p.count(Counters.Name.FAULTS) > 0) {
      auditor.violated(scheduler.now(), Rule.NO_FAULT, "gateway " + p.index + " had a fault");
    }
    if (p.dead) {
      return;
    }
    long held = p.networks.get(0).budget().held();
    if (!p.isStopped() || p.channels.openNow() > 0 || held != 0) {
      auditor.violated(
          scheduler.now(),
          Rule.NOTHING_LEFT,
          "gateway "
              + p.index
              + (p.isStopped() ? "" : " did not stop")
              + ": "
              + p.channels.openNow()
              + " channels, "
              + held
              + " bytes held");
    }
  }

  /**
   * Lets time pass: events in their order, and turns of the gateways whenever one has something to
   * do.
   */
  private void until(long end) {
    while (true) {
      boolean turned = false;
      for (Process p : processes) {
        if (p.nextTurn() <= scheduler.now()) {
          p.turn();
          turned = true;
        }
      }
      if (turned || scheduler.step()) {
        continue;
      }
      long next = scheduler.next();
      for (Process p : processes) {
        next = Math.min(next, p.nextTurn());
      }
      if (next > end) {
        scheduler.advance(end);
        return;
      }
      scheduler.advance(next);
    }
  }

  // ---- Faults
  // --------------------------------------------------------------------------------

  private Box box(int target) {
    List<Box> all = List.copyOf(boxes.values());
    return all.get(target % all.size());
  }

  private Process process(int target) {
    return processes.get(target % processes.size());
  }

  private ReplicaSetModel setOf(Box box) {
    return sets.get(cells.get(box.id()) - 1);
  }

  private void strike(Fault fault) {
    traced("fault", fault.toString(), "", "");
    Box primary = sets.get(fault.target() % sets.size()).primary();
    switch (fault.kind()) {
      case KILL_BOX -> kill(box(fault.target()), fault.time());
      case KILL_PRIMARY -> {
        if (primary != null) {
          kill(primary, fault.time());
        }
      }
      case DRAIN_BOX -> drain(box(fault.target()), fault.time());
      case DRAIN_PRIMARY -> {
        if (primary != null) {
          drain(primary, fault.time());
        }
      }
      case VANISH_BOX -> {
        SimulatedMachine machine = boxMachines.get(box(fault.target()).id());
        machine.vanish();
        scheduler.after(fault.time(), machine::comeBack);
      }
      case SLOW_BOX -> box(fault.target()).slow(2 + fault.target() % 20, fault.time());
      case SPOIL_BOX -> spoiling.put(box(fault.target()).id(), scheduler.now() + fault.time());
      case RESET_BOX -> boxMachines.get(box(fault.target()).id()).resetAll();
      case BAD_NETWORK -> {
        VirtualNetwork.Weather w = scenario.weather();
        net.weather(new VirtualNetwork.Weather(w.latency() * 3, w.jitter() + 10_000, 0.9));
        scheduler.after(fault.time(), () -> net.weather(w));
      }
      case BREAK_WATCHES -> catalogue.breakWatches();
      case DISCOVERY_DOWN -> {
        catalogue.down(true);
        listLateUntil = Math.max(listLateUntil, scheduler.now() + fault.time() + PUSHED_AFTER);
        scheduler.after(fault.time(), () -> catalogue.down(false));
      }
      case KILL_GATEWAY -> killGateway(process(fault.target()), fault.time());
      case STOP_GATEWAY -> stopGateway(process(fault.target()));
      case PAUSE_GATEWAY -> {
        Process p = process(fault.target());
        p.pausedUntil = scheduler.now() + Math.min(400_000, fault.time());
        disturb(p.index, Math.min(400_000, fault.time()));
      }
      case STEP_CLOCK -> {
        Process p = process(fault.target());
        p.skew += fault.target() % 2 == 0 ? -20_000 : 20_000;
        disturb(p.index, LAST_DEADLINE);
      }
      case BURST -> {
        ClientPopulation crowd = crowds.get(fault.target() % crowds.size());
        crowd.factor(6);
        scheduler.after(Math.min(1_000_000, fault.time()), () -> crowd.factor(1));
      }
      case HANG_UPS -> crowds.get(fault.target() % crowds.size()).hangUp();
      case STALL_READERS ->
          crowds.get(fault.target() % crowds.size()).stall(Math.min(2_000_000, fault.time()));
      case RELOAD -> {
        Process p = process(fault.target());
        if (!p.dead && !p.stopping && p.gateway != null) {
          p.reload();
        }
      }
      case GARBAGE -> {
        strangers = true;
        for (int i = 0; i < GARBAGE; i++) {
          scheduler.after(
              random.nextLong(fault.time() + 1),
              () ->
                  new MisbehavingClientHandler(
                      net.on(rude), gatewayAddress(fault.target() % processes.size()), random));
        }
      }
      case REMOVE_TENANT, CHANGE_TENANT, DRAIN_BY_TENANT -> administer(fault);
      case IDLE_CROWD ->
          crowds
              .get(fault.target() % crowds.size())
              .idle(scenario.means().sockets(), Math.min(3_000_000, fault.time()));
      case HICCUP_BOX -> {
        Box box = box(fault.target());
        for (int i = 0; i < HICCUPS; i++) {
          scheduler.after(
              random.nextLong(fault.time() + 1), () -> box.pause(random.nextLong(25_000)));
        }
      }
      default -> throw new IllegalStateException(fault.kind().name());
    }
  }

  /** What an administrator does to a tenant of a hosted gateway, and takes back after a while. */
  private void administer(Fault fault) {
    Process p = process(fault.target());
    if (p.hosted == null || p.dead || p.stopping) {
      return;
    }
    int tenant = fault.target() / 7 % scenario.means().tenants();
    switch (fault.kind()) {
      case REMOVE_TENANT ->
          p.hosted.remove(tenantName(tenant), at -> traced("gone", "g" + p.index, "", ""));
      case CHANGE_TENANT ->
          p.hosted.apply(p.spec(tenant, 0.1 + fault.target() % 9, Set.of()), at -> {});
      default -> p.hosted.apply(p.spec(tenant, 1, Set.of(box(fault.target()).id())), at -> {});
    }
    scheduler.after(
        Math.min(1_500_000, fault.time()),
        () -> {
          if (!p.dead && !p.stopping) {
            p.hosted.apply(p.spec(tenant, 1, Set.of()), at -> {});
          }
        });
  }

  static String tenantName(int tenant) {
    return "t" + tenant;
  }

  /** What clients of this gateway have open is late by no fault of its own. */
  private void disturb(int gateway, long time) {
    disturbed.add(gateway);
    excuseAll(gateway);
    scheduler.after(
        time,
        () -> {
          excuseAll(gateway);
          disturbed.remove(gateway);
        });
  }

  private void excuseAll(int gateway) {
    for (Asked a : auditor.asked()) {
      if (a.gateway == gateway && !a.isAnswered()) {
        auditor.excuse(a);
      }
    }
  }

  private void stand(Box box, int cell) {
    SimulatedMachine machine = net.machine(box.id());
    boxes.put(box.id(), box);
    cells.put(box.id(), cell);
    boxMachines.put(box.id(), machine);
    boxAddresses.put(box.id(), net.newAddress());
    listen(box);
  }

  private void listen(Box box) {
    SimulatedMachine machine = boxMachines.get(box.id());
    net.listen(
        machine,
        boxAddresses.get(box.id()),
        end ->
            !box.isUp() || machine.connections() >= scenario.figures().connections()
                ? null
                : new EmulatedHostConnection(hosting, box, end));
  }

  private DiscoveryEmulator.Line line(Box box, String phase) {
    InetSocketAddress at = boxAddresses.get(box.id());
    return new DiscoveryEmulator.Line(
        box.id(),
        at.getHostString() + ":" + at.getPort(),
        cells.get(box.id()),
        phase,
        box.startedAt() / 1000,
        switch (scenario.deployment().listRole()) {
          case NONE -> false;
          case AT_START -> firstPrimaries.contains(box.id());
          case LATE -> box.isPrimary();
        });
  }

  /**
   * Puts a box that wants nothing new into the list. Where it is pushed, that counts as told
   * whoever watches.
   */
  private void leaves(Box box, String phase, long delay) {
    catalogue.change(line(box, phase), delay);
    if (scenario.deployment().pushed() && scenario.means().tenants() == 0) {
      scheduler.after(
          delay + PUSHED_AFTER,
          () -> {
            boolean back = box.isUp() && !box.isDraining(); // the list may say so already
            if (!back && scheduler.now() > listLateUntil && boxes.get(box.id()) == box) {
              processes.stream()
                  .filter(p -> !p.dead)
                  .forEach(p -> auditor.drainTold(p.index, box.id(), scheduler.now()));
            }
          });
    }
  }

  private void kill(Box box, long time) {
    if (!box.isUp()) {
      return;
    }
    traced("kill", box.id(), "", "");
    end(box);
    scheduler.after(
        time,
        () -> {
          if (boxes.containsKey(box.id())) {
            setOf(box).restart(box);
            catalogue.change(line(box, "Ready"), scenario.listDelay() + 1);
          }
        });
  }

  /** Its process ends, and the list says so when it knows. */
  private void end(Box box) {
    setOf(box).kill(box);
    boxMachines.get(box.id()).resetAll();
    leaves(box, "Gone", scenario.listDelay());
  }

  /** A planned replacement: it drains, ends, and a new box with another id takes its place. */
  private void drain(Box box, long time) {
    if (!box.isUp() || box.isDraining()) {
      return;
    }
    traced("drain", box.id(), "", "");
    ReplicaSetModel set = setOf(box);
    set.drain(box);
    leaves(box, "Terminating", 1);
    Box next = set.join("n" + newBoxes++);
    stand(next, cells.get(box.id()));
    catalogue.change(line(next, "Ready"), scenario.listDelay());
    scheduler.after(
        3_000_000 + time,
        () -> {
          if (box.isUp()) {
            end(box);
          }
          boxes.remove(box.id());
        });
  }

  private void killGateway(Process p, long time) {
    if (p.dead || p.stopping) {
      return;
    }
    traced("kill", "g" + p.index, "", "");
    p.dead = true;
    excuseAll(p.index);
    net.unlisten(gatewayAddresses.get(p.index));
    p.machine.resetAll();
    scheduler.after(Math.min(time, 1_000_000), () -> startGateway(p.index));
  }

  private void startGateway(int index) {
    if (ending) {
      return;
    }
    SimulatedMachine machine = net.machine("g" + index);
    gatewayMachines.put(machine, index);
    auditor.restarted(index);
    processes.set(index, new Process(index, machine));
  }

  /** SIGTERM: what it has is still owed; a new one stands at its address once it has stopped. */
  private void stopGateway(Process p) {
    if (p.dead || p.stopping) {
      return;
    }
    traced("stop", "g" + p.index, "", "");
    p.stopping = true;
    p.stopAt = scheduler.now();
    p.drain();
    awaitStop(p, scheduler.now() + DRAIN_TIME);
  }

  private void awaitStop(Process p, long end) {
    scheduler.after(
        10_000,
        () -> {
          if (p.isStopped()) {
            nothingLeft(p);
            startGateway(p.index);
          } else if (scheduler.now() < end) {
            awaitStop(p, end);
          } else {
            nothingLeft(p);
          }
        });
  }

  // ---- What the parties use
  // --------------------------------------------------------------------------------

  Scenario scenario() {
    return scenario;
  }

  Clock clock() {
    return scheduler;
  }

  VirtualNetwork net() {
    return net;
  }

  InvariantChecker auditor() {
    return auditor;
  }

  List<RequestClass> types() {
    return types;
  }

  RequestClass type(String name) {
    return types.stream().filter(t -> t.name().equals(name)).findFirst().orElseThrow();
  }

  /** The clients of any gateway: a session that carries its mark may go on there. */
  ClientPopulation anyCrowd(UniformRandomProvider lot) {
    return crowds.get(lot.nextInt(crowds.size()));
  }

  InetSocketAddress gatewayAddress(int gateway) {
    return gatewayAddresses.get(gateway);
  }

  void told(SimulatedMachine machine, List<DiscoveryEmulator.Line> some, boolean complete) {
    Integer gateway = gatewayMachines.get(machine);
    if (gateway == null
        || processes.size() <= gateway
        || processes.get(gateway).machine != machine) {
      return;
    }
    Set<String> named = new LinkedHashSet<>();
    for (DiscoveryEmulator.Line l : some) {
      named.add(l.id());
      if (l.phase().equals("Ready")) {
        auditor.drainOver(gateway, l.id());
      } else {
        auditor.drainTold(gateway, l.id(), scheduler.now());
      }
    }
    if (complete) {
      boxes.keySet().stream()
          .filter(id -> !named.contains(id))
          .forEach(id -> auditor.drainTold(gateway, id, scheduler.now()));
    }
  }

  /**
   * Whether clients still open connections to a gateway: they go on for a moment after its SIGTERM.
   */
  boolean takesConnections(int gateway) {
    Process p = processes.get(gateway);
    return !p.stopping || scheduler.now() < p.stopAt + LAST_ARRIVALS;
  }

  private long[] worthOf(RequestClass type) {
    return worth.computeIfAbsent(type.name(), n -> new long[6]);
  }

  void asked(Asked a, int tried) {
    requests++;
    wanted[window(a)] += a.type.priorityWeight();
    worthOf(a.type)[0]++;
    if (tried > 0) {
      retries.put(a.id, tried);
    }
    if (disturbed.contains(a.gateway)) {
      auditor.excuse(a);
    }
    traced("ask", a.id, a.type.name(), "");
  }

  /**
   * The load found no connection: that is asked for and not answered, and nobody's fault but the
   * crowd's.
   */
  void notAsked(RequestClass type) {
    worthOf(type)[0]++;
    worthOf(type)[5]++;
  }

  int retries(Asked a) {
    return retries.getOrDefault(a.id, 0);
  }

  void answered(Asked a, String value, String code) {
    long now = scheduler.now();
    traced("answered", a.id, String.valueOf(value), String.valueOf(code));
    auditor.answered(a, now, value, code);
    int what =
        code == null
            ? now <= a.sentAt + a.type.latencyObjectiveMicros() ? 1 : 2
            : code.equals("53300") || code.equals("57P03") ? 3 : 4;
    worthOf(a.type)[what]++;
    if (code == null) {
      latency.recordValue(Math.max(0, now - a.sentAt));
      kept[window(a)] +=
          what == 1
              ? a.type.priorityWeight()
              : a.type.priorityWeight() * a.type.lateValueFraction();
    }
  }

  private int window(Asked a) {
    return (int) Math.min(kept.length - 1, Math.max(0, a.sentAt - startedAt) / WINDOW);
  }

  void unanswered(Asked a, String how) {
    traced("unanswered", a.id, how, "");
    worthOf(a.type)[5]++;
    auditor.unanswered(a, scheduler.now(), how);
  }

  /**
   * A connection has ended with a request open; where its gateway was killed or is stopping that is
   * excused.
   */
  void lost(Asked a, boolean reset) {
    traced("lost", a.id, String.valueOf(reset), "");
    worthOf(a.type)[5]++;
    Process p = processes.get(a.gateway);
    boolean crossed = a.isUntouched();
    if (p.dead || p.stopping && crossed || crossed) {
      // A connection that the gateway ended between requests may cross the next one; it was sent
      // nowhere.
      auditor.excuse(a);
    }
    auditor.unanswered(a, scheduler.now(), "lost its connection");
  }

  void traced(String what, String a, String b, String c) {
    String line = scheduler.now() - START + " " + what + " " + a + " " + b + " " + c;
    hash.update(line.getBytes(UTF_8));
    trace.accept(line);
  }

  /**
   * The boxes' place here: a schema of its own for each class, faults by the scenario, and the
   * auditor's eyes.
   */
  private final class Virtual implements HostEnvironment {

    @Override
    public Clock clock() {
      return scheduler;
    }

    @Override
    public long handshake() {
      return scenario.figures().handshake();
    }

    @Override
    public Query query(Statement s, String text) throws ProtocolException {
      RequestClass type = type(s.value("c"));
      return new Query(
          s.value("id"),
          s.value("k"),
          s.key(),
          type.isWrite(),
          type.consistency() == Consistency.STRONG,
          type.maxStalenessMicros(),
          scheduler.now() + s.number("d", 0) * 1000L);
    }

    @Override
    public Consumer<Answer> arrived(Box box, TransportConnection from, Query query) {
      if (strangers && auditor.gatewayOf(query.id()) < 0) {
        return answer -> {}; // of a client that does not keep to the protocol
      }
      SimulatedSocket gateway = ((SimulatedSocket) from).other();
      InvariantChecker.Try attempt =
          auditor.arrives(
              query.id(), box.id(), scheduler.now(), gateway.writtenAt(), gateway::overAt);
      begun.put(query.id(), attempt);
      traced("attempt", query.id(), "", "");
      return answer -> {
        attempt.answered(scheduler.now(), answer.kind() == Kind.FULL || answer.kind() == Kind.MISS);
        traced("answer", box.id(), query.id(), answer.kind().name());
      };
    }

    @Override
    public void tellsReplica(Box box, TransportConnection to) {
      Integer gateway = gatewayMachines.get(((SimulatedSocket) to).other().machine());
      if (gateway != null) {
        shownAt.computeIfPresent(
            gateway + "/" + box.id(), (k, at) -> Math.min(at, scheduler.now()));
      }
    }

    @Override
    public boolean stamps() {
      return scenario.deployment().stamped();
    }

    @Override
    public boolean reports() {
      return scenario.deployment().reports() == LoadReportSource.RESPONSES;
    }

    @Override
    public boolean spoils(Box box) {
      return spoiling.getOrDefault(box.id(), 0L) > scheduler.now() && random.nextInt(4) == 0;
    }

    @Override
    public boolean silent(Box box) {
      return false;
    }

    @Override
    public void malformed(Box box, ProtocolException why) {
      auditor.violated(
          scheduler.now(), Rule.RIGHT_VALUE, "to " + box.id() + ": " + why.getMessage());
    }

    @Override
    public void left(Box box) {
      traced("left", box.id(), "", "");
    }
  }

  private final class SetWitness implements ReplicaSetModel.Witness {

    @Override
    public void begun(Box box, Query query) {
      InvariantChecker.Try attempt = begun.get(query.id());
      if (attempt != null) {
        auditor.begins(attempt);
      }
    }

    @Override
    public void applied(Box box, Effect effect, Query by, boolean repeated) {
      traced("applied", box.id(), by.id(), effect.key());
      auditor.applied(effect, by.id(), repeated, scheduler.now());
    }

    @Override
    public void read(Box box, Query query, long position) {
      auditor.read(
          query.id(),
          box.id(),
          box.isPrimary(),
          position,
          scheduler.now(),
          shownAt.getOrDefault(auditor.gatewayOf(query.id()) + "/" + box.id(), 0L) + KNOWN_AFTER);
    }

    @Override
    public void pushedOver(Box box) {
      auditor.violated(scheduler.now(), Rule.COLD, box.id() + " got more than a cold box can bear");
    }

    @Override
    public void primary(Box box, Box before, List<Effect> lost) {
      for (int g = 0; before != null && g < scenario.gateways(); g++) {
        shownAt.put(g + "/" + before.id(), Long.MAX_VALUE - KNOWN_AFTER);
      }
      traced("primary", box == null ? "none" : box.id(), String.valueOf(lost.size()), "");
      auditor.lost(lost);
      if (box != null && boxes.containsKey(box.id())) {
        for (Box b : setOf(box).boxes()) {
          if (b.isUp() && boxes.containsKey(b.id())) {
            catalogue.change(
                line(b, b.isDraining() ? "Terminating" : "Ready"), scenario.listDelay() + 2);
          }
        }
      }
    }
  }

  private Result result() {
    Map<String, Worth> out = new TreeMap<>();
    double served = 0;
    double due = 0;
    for (RequestClass type : types) {
      long[] w = worthOf(type);
      out.put(type.name(), new Worth(w[0], w[1], w[2], w[3], w[4], w[5]));
      served += type.priorityWeight() * (w[1] + type.lateValueFraction() * w[2]);
      due += type.priorityWeight() * w[0];
    }
    return new Result(
        auditor.violations(),
        auditor.count(),
        out,
        due == 0 ? 1 : served / due,
        wanted,
        kept,
        latency,
        scheduler.count(),
        requests,
        HexFormat.of().formatHex(hash.digest()));
  }
}
