package shelffront.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import org.awaitility.Awaitility;
import shelffront.Main;
import shelffront.controlplane.ChangeStore;
import shelffront.coordination.ConsulCoordinationStore;
import shelffront.distribution.Version;
import shelffront.lab.LabMain;
import shelffront.lab.faultinjection.JavaProcess;
import shelffront.tenant.TenantSpecCodec;

/**
 * Runs a fleet as processes on loopback: the emulated coordination store, a distributor for each
 * region and zone, one process with the hollow gateways of each zone, and a few real gateways.
 */
final class ScaledFleet implements AutoCloseable {

  static final String FLEET = "scale";
  private static final int HEAP_MB = 256;
  private static final int REAL_HEAP_MB = 72; // same as in the start command of the platform
  private static final Duration TIMEOUT = Duration.ofSeconds(120);
  private static final Duration STORE_CALL_TIMEOUT = Duration.ofMillis(1500);
  private static final Pattern CURRENT_AFTER = Pattern.compile("all current after ([0-9]+) ms");
  private static final Pattern STORE_PORT = Pattern.compile("listens on 127.0.0.1:([0-9]+)");
  private static final Pattern DISTRIBUTOR_ADDRESS =
      Pattern.compile("distributes on /(127.0.0.1:[0-9]+)");
  private static final Pattern CLIENT_ADDRESS = Pattern.compile("listens on /(127.0.0.1:[0-9]+)");

  private static final Pattern ADMIN_ADDRESS =
      Pattern.compile("administration on /([0-9.]+:[0-9]+)");
  private static final Pattern OPERATOR_TOKEN = Pattern.compile("shown once: (\\S+)");

  /** Number of gateways, tenants, regions and zones of the fleet. */
  record Size(
      int gateways,
      int tenants,
      int namesPerGateway,
      int regions,
      int zonesPerRegion,
      int real,
      int direct,
      long seed) {

    int zones() {
      return regions * zonesPerRegion;
    }
  }

  /** Maps the address of a target to the address at which a part of the fleet reaches it. */
  interface AddressTranslator {

    String translate(String from, String target, String address) throws IOException;
  }

  /** A named process of the fleet, which can be restarted. */
  final class FleetProcess {

    final String name;
    private final int heapMb;
    private final Class<?> main;
    private final String[] arguments;
    private JavaProcess process;
    private int starts;

    private FleetProcess(String name, int heapMb, Class<?> main, String... arguments)
        throws IOException {
      this.name = name;
      this.heapMb = heapMb;
      this.main = main;
      this.arguments = arguments;
      start();
    }

    void start() throws IOException {
      starts++;
      process =
          JavaProcess.start(
              main, heapMb, directory.resolve(name + "." + starts + ".log"), arguments);
    }

    JavaProcess process() {
      return process;
    }

    /** Whether the process is running and was never restarted. */
    boolean isFirstAndUp() {
      return starts == 1 && process.isUp();
    }
  }

  private final Path directory;
  private final Size size;
  private final AddressTranslator addressTranslator;
  private final boolean persistent;
  private final HttpClient http = HttpClient.newHttpClient();
  private final ChangeStore store;
  private final String storeAddress;
  private final FleetProcess storeProcess;
  private final List<FleetProcess> regions = new ArrayList<>();
  private final List<FleetProcess> zones = new ArrayList<>();
  private final List<FleetProcess> hollow = new ArrayList<>(); // by zone
  private final List<FleetProcess> real = new ArrayList<>();
  private final ArrayNode regionEndpoints = TenantSpecCodec.JSON.createArrayNode();
  private final ArrayNode zoneEndpoints = TenantSpecCodec.JSON.createArrayNode();

  ScaledFleet(Path directory, Size size) throws Exception {
    this(directory, size, (from, target, address) -> address, false);
  }

  /**
   * @param persistent whether gateways save their last known good state, and hollow gateways a
   *     history
   */
  ScaledFleet(Path directory, Size size, AddressTranslator addressTranslator, boolean persistent)
      throws Exception {
    this.directory = directory;
    this.size = size;
    this.addressTranslator = addressTranslator;
    this.persistent = persistent;
    Files.createDirectories(directory);
    Path state = directory.resolve("engine.state");
    writeInitialState(state);
    storeProcess =
        new FleetProcess(
            "engine",
            HEAP_MB,
            LabMain.class,
            "consul-stand-in",
            "--port",
            Integer.toString(freePort()),
            "--file",
            state.toString());
    await("the coordination store is up", () -> storeProcess.process().found(STORE_PORT) != null);
    storeAddress = "127.0.0.1:" + storeProcess.process().found(STORE_PORT);
    store =
        new ChangeStore(
            new ConsulCoordinationStore(
                "127.0.0.1",
                Integer.parseInt(storeProcess.process().found(STORE_PORT)),
                STORE_CALL_TIMEOUT),
            FLEET);
  }

  /** Returns a free port, so that the coordination store restarts at the same address. */
  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private void writeInitialState(Path state) throws Exception {
    StateFileCoordinationStore initialState = new StateFileCoordinationStore();
    ChangeStore writer = new ChangeStore(initialState, FLEET);
    writer.write(
        "tenant/" + SyntheticTenants.COMMON,
        0,
        SyntheticTenants.document(SyntheticTenants.COMMON, 0).toString(),
        Version.NONE);
    for (int i = 0; i < size.tenants(); i++) {
      String id = SyntheticTenants.tenantId(i);
      writer.write("tenant/" + id, 0, SyntheticTenants.document(id, 0).toString(), Version.NONE);
    }
    initialState.save(state);
  }

  /**
   * Starts the region distributors, the zone distributors and then the gateways, and waits until
   * every hollow gateway is current.
   */
  void start() throws IOException {
    for (int region = 0; region < size.regions(); region++) {
      ObjectNode config =
          distributorConfig("r" + region, "r" + region, "")
              .put("engine", addressTranslator.translate("r" + region, "engine", storeAddress));
      regions.add(startDistributor("region-r" + region, config));
    }
    addEndpoints(regions, regionEndpoints, false);
    for (int zone = 0; zone < size.zones(); zone++) {
      ObjectNode config = distributorConfig(zoneName(zone), regionName(zone), zoneName(zone));
      config.set("distributors", endpointsSeenFrom(zoneName(zone), regionEndpoints));
      zones.add(startDistributor("zone-" + zoneName(zone), config));
    }
    addEndpoints(zones, zoneEndpoints, true);
    for (int zone = 0; zone < size.zones(); zone++) {
      hollow.add(startHollowGateways(zone));
    }
    for (int i = 0; i < size.real(); i++) {
      real.add(startRealGateway(i));
    }
    awaitCurrent();
    real.forEach(
        process ->
            await("a real gateway listens", () -> process.process().found(CLIENT_ADDRESS) != null));
  }

  private String regionName(int zone) {
    return "r" + zone / size.zonesPerRegion();
  }

  private static String zoneName(int zone) {
    return "z" + zone;
  }

  private static ObjectNode distributorConfig(String name, String region, String zone) {
    ObjectNode config =
        TenantSpecCodec.JSON
            .createObjectNode()
            .put("listen", "127.0.0.1:0")
            .put("name", "d-" + name)
            .put("fleet", FLEET)
            .put("region", region);
    return zone.isEmpty() ? config : config.put("zone", zone);
  }

  private FleetProcess startDistributor(String name, ObjectNode config) throws IOException {
    Path file = directory.resolve(name + ".json");
    Files.writeString(file, config.toString());
    return new FleetProcess(name, HEAP_MB, Main.class, "distribute", "--config", file.toString());
  }

  /**
   * Adds the system-assigned addresses of the distributors to the endpoint list, and writes them to
   * their configuration so that a restarted distributor listens at the same address.
   */
  private void addEndpoints(List<FleetProcess> distributors, ArrayNode into, boolean zonal)
      throws IOException {
    for (int i = 0; i < distributors.size(); i++) {
      FleetProcess part = distributors.get(i);
      await(part.name + " is up", () -> part.process().found(DISTRIBUTOR_ADDRESS) != null);
      String address = part.process().found(DISTRIBUTOR_ADDRESS);
      ObjectNode endpoint =
          into.addObject().put("address", address).put("region", zonal ? regionName(i) : "r" + i);
      if (zonal) {
        endpoint.put("zone", zoneName(i));
      }
      Path file = directory.resolve(part.name + ".json");
      ObjectNode config = (ObjectNode) TenantSpecCodec.JSON.readTree(file.toFile());
      Files.writeString(file, config.put("listen", address).toString());
    }
  }

  /** Returns the endpoints with the addresses at which a zone reaches them. */
  private ArrayNode endpointsSeenFrom(String zone, ArrayNode endpoints) throws IOException {
    ArrayNode seen = endpoints.deepCopy();
    for (JsonNode endpoint : seen) {
      String target = endpoint.path("zone").asText(endpoint.path("region").asText());
      ((ObjectNode) endpoint)
          .put(
              "address",
              addressTranslator.translate(zone, target, endpoint.path("address").asText()));
    }
    return seen;
  }

  private ObjectNode gatewayConfig(String name, int zone) throws IOException {
    ObjectNode config =
        TenantSpecCodec.JSON
            .createObjectNode()
            .put("name", name)
            .put("fleet", FLEET)
            .put("region", regionName(zone))
            .put("zone", zoneName(zone));
    config.set("distributors", endpointsSeenFrom(zoneName(zone), zoneEndpoints));
    return persistent
        ? config.put("lastKnownGood", directory.resolve(name + ".kept").toString())
        : config;
  }

  private FleetProcess startHollowGateways(int zone) throws IOException {
    ObjectNode config = TenantSpecCodec.JSON.createObjectNode();
    ArrayNode gateways = config.putArray("gateways");
    for (int gateway = zone; gateway < size.gateways(); gateway += size.zones()) {
      ObjectNode each = gateways.addObject();
      each.set("distribution", gatewayConfig("g" + gateway, zone));
      ArrayNode names = each.putArray("names");
      SyntheticTenants.servedNames(gateway, size.tenants(), size.namesPerGateway(), size.seed())
          .forEach(names::add);
    }
    if (size.direct() > 0) {
      config
          .putObject("direct")
          .put("engine", storeAddress)
          .put("fleet", FLEET)
          .put("count", size.direct() / size.zones());
    }
    String name = "hollow-" + zoneName(zone);
    Path file = directory.resolve(name + ".json");
    Files.writeString(file, config.toString());
    List<String> arguments =
        new ArrayList<>(
            List.of(
                "hollow-gateways",
                "--config",
                file.toString(),
                "--report",
                reportFile(zone).toString()));
    if (persistent) {
      arguments.addAll(List.of("--history", historyFile(zone).toString()));
    }
    return new FleetProcess(name, HEAP_MB, LabMain.class, arguments.toArray(String[]::new));
  }

  /** History of the hollow gateways of a zone in order of time; survives restarts. */
  Path historyFile(int zone) {
    return directory.resolve("hollow-" + zoneName(zone) + ".history");
  }

  /** Address at which a real gateway accepts clients. */
  String clientAddress(int number) {
    return real.get(number).process().found(CLIENT_ADDRESS);
  }

  /** Calls the administration API of a real gateway with its initial operator token. */
  HttpResponse<String> administer(
      int number, String method, String path, long revision, String body)
      throws IOException, InterruptedException {
    JavaProcess gateway = real.get(number).process();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + gateway.found(ADMIN_ADDRESS) + path))
            .header("Authorization", "Bearer " + gateway.found(OPERATOR_TOKEN))
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (revision > 0) {
      request.header("If-Match", "\"" + revision + "\"");
    }
    return http.send(request.build(), BodyHandlers.ofString());
  }

  /** Sets the faults of the emulated coordination store; an empty text clears them. */
  void injectStoreFault(String query) throws IOException, InterruptedException {
    http.send(
        HttpRequest.newBuilder(URI.create("http://" + storeAddress + "/fault?" + query))
            .PUT(HttpRequest.BodyPublishers.noBody())
            .build(),
        BodyHandlers.ofString());
  }

  private Path reportFile(int zone) {
    return directory.resolve("hollow-" + zoneName(zone) + ".report");
  }

  private FleetProcess startRealGateway(int number) throws IOException {
    ObjectNode config =
        TenantSpecCodec.JSON
            .createObjectNode()
            .put("listen", "127.0.0.1:0")
            .put("admin", "127.0.0.1:0");
    config.set(
        "distribution",
        gatewayConfig("real" + number, number % size.zones()).put("engine", storeAddress));
    Path file = directory.resolve("real" + number + ".json");
    Files.writeString(file, config.toString());
    return new FleetProcess(
        "real" + number, REAL_HEAP_MB, Main.class, "serve", "--config", file.toString());
  }

  /** Waits until every hollow gateway has all records to which it subscribes. */
  void awaitCurrent() {
    hollow.forEach(
        process ->
            await(
                process.name + " is current",
                () -> process.process().found(CURRENT_AFTER) != null));
  }

  /**
   * The longest time that the gateways of a zone took from process start until all were current; 0
   * without zones.
   */
  long slowestStartMillis() {
    return hollow.stream()
        .map(process -> process.process().found(CURRENT_AFTER))
        .filter(text -> text != null)
        .mapToLong(Long::parseLong)
        .max()
        .orElse(0);
  }

  static void await(String what, BooleanSupplier condition) {
    Awaitility.await(what)
        .atMost(TIMEOUT)
        .pollInterval(Duration.ofMillis(20))
        .until(condition::getAsBoolean);
  }

  /** The store to which changes are written. */
  ChangeStore store() {
    return store;
  }

  FleetProcess storeProcess() {
    return storeProcess;
  }

  List<FleetProcess> regions() {
    return regions;
  }

  List<FleetProcess> zones() {
    return zones;
  }

  List<FleetProcess> hollow() {
    return hollow;
  }

  List<FleetProcess> real() {
    return real;
  }

  /** Number of calls to the coordination store, and the bytes of their bodies. */
  long[] storeCalls() throws IOException, InterruptedException {
    JsonNode counts =
        TenantSpecCodec.JSON.readTree(
            http.send(
                    HttpRequest.newBuilder(URI.create("http://" + storeAddress + "/calls")).build(),
                    BodyHandlers.ofString())
                .body());
    return new long[] {counts.path("calls").asLong(), counts.path("bytes").asLong()};
  }

  /** Terminates the hollow gateways and returns their reports by zone. */
  TreeMap<Integer, JsonNode> terminateHollowGateways() throws IOException, InterruptedException {
    TreeMap<Integer, JsonNode> reports = new TreeMap<>();
    for (int zone = 0; zone < hollow.size(); zone++) {
      if (!hollow.get(zone).process().terminate(TIMEOUT.toSeconds())) {
        throw new IllegalStateException(
            hollow.get(zone).name
                + " did not exit within "
                + TIMEOUT.toSeconds()
                + " s of SIGTERM; log files are in "
                + directory);
      }
      reports.put(zone, TenantSpecCodec.JSON.readTree(reportFile(zone).toFile()));
    }
    return reports;
  }

  @Override
  public void close() {
    List<FleetProcess> all = new ArrayList<>(real);
    all.addAll(hollow);
    all.addAll(zones);
    all.addAll(regions);
    all.add(storeProcess);
    all.forEach(process -> process.process().abandon());
    store.close();
  }
}
