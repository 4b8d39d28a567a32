package shelffront.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shelffront.config.MalformedInputException;
import shelffront.config.RoutingSettingsCodec;
import shelffront.decision.RoutingEngine;
import shelffront.routing.Endpoint;
import shelffront.routing.EndpointUpdateKind;
import shelffront.routing.Router;
import shelffront.routing.RoutingSettings;

/**
 * Hosts instances of the decision module on the simulator's line protocol: reads batches of events,
 * dispatches each event to its instance, and writes the resulting actions. Single-threaded.
 */
public final class SimulatorAdapter {

  private final SimulatorInput input;
  private final SimulatorActionWriter output;
  private final Map<Integer, SimulatorInstance> instances = new TreeMap<>();
  private final Map<Integer, List<Endpoint>> endpointLists = new HashMap<>();
  private long nowMicros;

  /** Creates an adapter; nothing is read or written before {@link #run}. */
  public SimulatorAdapter(InputStream input, OutputStream output) {
    try {
      JsonFactory factory = new JsonFactory();
      this.input = new SimulatorInput(factory, input);
      this.output = new SimulatorActionWriter(factory, output);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Processes batches until the input ends between two batches.
   *
   * @throws MalformedInputException if the input violates the protocol; names the line number
   */
  public void run() throws IOException, MalformedInputException {
    try {
      runBatches();
    } catch (JsonProcessingException e) {
      throw input.located(e);
    } catch (MalformedInputException e) {
      throw input.located(e);
    }
  }

  private void runBatches() throws IOException, MalformedInputException {
    boolean inBatch = false;
    for (SimulatorInput.Row row = input.next(); row != null; row = input.next()) {
      if (row.name().equals("clock")) {
        nowMicros = row.fields().integer("time");
        inBatch = true;
      } else if (!inBatch) {
        throw new MalformedInputException(
            row.name() + " is outside of a batch; expected a clock row first");
      } else if (row.name().equals("eofBatch")) {
        inBatch = false;
        output.endBatch();
      } else {
        dispatch(row.name(), row.fields());
      }
    }
    if (inBatch) {
      throw new MalformedInputException("input ended inside a batch; expected an eofBatch row");
    }
  }

  private void dispatch(String name, SimulatorRowReader row)
      throws IOException, MalformedInputException {
    if (name.equals("catalog")) {
      int listNumber = (int) row.integer("list");
      endpointLists.put(listNumber, SimulatorEventDecoder.endpoints(row.array("members")));
      return;
    }
    int proxy = (int) row.integer("proxy");
    switch (name) {
      case "powerOff" -> instances.remove(proxy);
      case "up" -> start(proxy, row);
      default -> handle(proxy, name, row);
    }
  }

  private void start(int proxy, SimulatorRowReader row)
      throws IOException, MalformedInputException {
    long seed = row.integer("randomSeed");
    Map<?, ?> facts = row.object("facts");
    if (facts == null) {
      throw new MalformedInputException("up: field facts is missing; expected an object");
    }
    RoutingSettings settings = RoutingSettingsCodec.read(facts);
    Router router = new RoutingEngine(output.actionsOf(proxy));
    instances.put(proxy, SimulatorInstance.of(router, settings, facts));
    runAndReport(proxy, () -> router.onStart(nowMicros, seed, settings));
  }

  private void handle(int proxy, String name, SimulatorRowReader row)
      throws IOException, MalformedInputException {
    SimulatorInstance instance = instances.get(proxy);
    if (instance == null) {
      throw new MalformedInputException(
          name + ": proxy " + proxy + " is not running; expected an up row before");
    }
    SimulatorEvent event = SimulatorEventDecoder.event(name, row, instance, nowMicros);
    Runnable call = callOf(event, instance.router());
    runAndReport(proxy, call);
  }

  /** Returns the call on the decision module that handles an event. */
  private Runnable callOf(SimulatorEvent event, Router router) throws MalformedInputException {
    if (event instanceof SimulatorEvent.EndpointUpdate update) {
      List<Endpoint> endpoints = endpointsOf(update);
      return () -> router.onEndpoints(nowMicros, update.kind(), update.version(), endpoints);
    }
    if (event instanceof SimulatorEvent.RequestArrived arrived) {
      return () -> router.onRequest(nowMicros, arrived.request());
    }
    if (event instanceof SimulatorEvent.AttemptEnded ended) {
      return () -> router.onAttemptOutcome(nowMicros, ended.outcome());
    }
    if (event instanceof SimulatorEvent.HealthCheckEnded check) {
      return () ->
          router.onHealthCheckResult(
              nowMicros,
              check.endpointId(),
              check.status(),
              check.elapsedMicros(),
              check.loadReport());
    }
    if (event instanceof SimulatorEvent.TimerExpired timer) {
      return () -> router.onTimer(nowMicros, timer.name());
    }
    if (event instanceof SimulatorEvent.ClientDisconnected client) {
      return () -> router.onClientDisconnected(nowMicros, client.requestId());
    }
    if (event instanceof SimulatorEvent.PeerMessage message) {
      return () -> router.onPeerMessage(nowMicros, message.fromGateway(), message.payload());
    }
    return () -> {};
  }

  private List<Endpoint> endpointsOf(SimulatorEvent.EndpointUpdate update)
      throws MalformedInputException {
    if (update.kind() == EndpointUpdateKind.FAILED) {
      return List.of();
    }
    List<Endpoint> endpoints = endpointLists.get((int) update.listNumber());
    if (endpoints == null) {
      throw new MalformedInputException(
          "discovery: unknown list "
              + update.listNumber()
              + "; expected a catalog row with this list before");
    }
    return endpoints;
  }

  /** Runs the handler of an event; an exception of the module is written to the output. */
  private void runAndReport(int proxy, Runnable call) throws IOException {
    try {
      call.run();
    } catch (RuntimeException e) {
      output.writeFault(proxy, e);
    }
  }
}
