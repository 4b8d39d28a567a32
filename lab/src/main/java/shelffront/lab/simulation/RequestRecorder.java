package shelffront.lab.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import shelffront.lab.invariants.CheckedRequest;
import shelffront.routing.RequestClass;

/**
 * Records the outcomes of the clients' requests by request class and by time window, and reports
 * them to the checker and the trace.
 */
final class RequestRecorder {

  private static final long MAX_LATENCY_MICROS = 60_000_000;
  private static final int LATENCY_SIGNIFICANT_DIGITS = 3;
  private static final String CAPACITY_EXCEEDED = "53300";
  private static final String SHUTTING_DOWN = "57P03";

  /** The outcome of a request with a response. */
  private enum Outcome {
    ON_TIME,
    LATE,
    REJECTED,
    FAILED
  }

  /** The outcomes of one request class. */
  private static final class ClassCounts {

    private long requested;
    private long unanswered;
    private final long[] byOutcome = new long[Outcome.values().length];

    private long get(Outcome outcome) {
      return byOutcome[outcome.ordinal()];
    }

    private FleetSimulation.Worth toWorth() {
      return new FleetSimulation.Worth(
          requested,
          get(Outcome.ON_TIME),
          get(Outcome.LATE),
          get(Outcome.REJECTED),
          get(Outcome.FAILED),
          unanswered);
    }
  }

  private final SimulationContext context;
  private final GatewayFleet gateways;
  private final Map<String, Integer> retries = new HashMap<>();
  private final Map<String, ClassCounts> counts = new TreeMap<>();
  private final double[] requestedValue;
  private final double[] servedValue;
  private final Histogram latencyMicros =
      new Histogram(MAX_LATENCY_MICROS, LATENCY_SIGNIFICANT_DIGITS);
  private long startedAtMicros;
  private long requests;

  RequestRecorder(SimulationContext context, GatewayFleet gateways) {
    this.context = context;
    this.gateways = gateways;
    requestedValue =
        new double[(int) (context.scenario().length() / FleetSimulation.WINDOW_MICROS) + 1];
    servedValue = new double[requestedValue.length];
  }

  /** Marks the start of the load, from which the windows are counted. */
  void start() {
    startedAtMicros = context.nowMicros();
  }

  private ClassCounts countsOf(RequestClass requestClass) {
    return counts.computeIfAbsent(requestClass.name(), name -> new ClassCounts());
  }

  /** Records a sent request; {@code earlierTries} counts towards the retry limit of the client. */
  void sent(CheckedRequest request, int earlierTries) {
    requests++;
    requestedValue[window(request)] += request.requestClass.priorityWeight();
    countsOf(request.requestClass).requested++;
    if (earlierTries > 0) {
      retries.put(request.id, earlierTries);
    }
    if (gateways.isDisturbed(request.gateway)) {
      context.checker().exempt(request);
    }
    context.trace().record("ask", request.id, request.requestClass.name());
  }

  /** Records a due request that had no available connection; it counts as unanswered. */
  void notSent(RequestClass requestClass) {
    countsOf(requestClass).requested++;
    countsOf(requestClass).unanswered++;
  }

  /** Returns the earlier tries that count towards the retry limit of a request. */
  int earlierTries(CheckedRequest request) {
    return retries.getOrDefault(request.id, 0);
  }

  /** Records a response: either a value or the SQLSTATE of an error; the other one is null. */
  void answered(CheckedRequest request, String value, String code) {
    long now = context.nowMicros();
    context.trace().record("answered", request.id, String.valueOf(value), String.valueOf(code));
    context.checker().answered(request, now, value, code);
    Outcome outcome = outcomeOf(request, code);
    countsOf(request.requestClass).byOutcome[outcome.ordinal()]++;
    if (code == null) {
      latencyMicros.recordValue(Math.max(0, now - request.sentAtMicros));
      double valueFraction =
          outcome == Outcome.ON_TIME ? 1 : request.requestClass.lateValueFraction();
      servedValue[window(request)] += request.requestClass.priorityWeight() * valueFraction;
    }
  }

  private Outcome outcomeOf(CheckedRequest request, String code) {
    if (code == null) {
      long objectiveMicros = request.sentAtMicros + request.requestClass.latencyObjectiveMicros();
      return context.nowMicros() <= objectiveMicros ? Outcome.ON_TIME : Outcome.LATE;
    }
    return code.equals(CAPACITY_EXCEEDED) || code.equals(SHUTTING_DOWN)
        ? Outcome.REJECTED
        : Outcome.FAILED;
  }

  private int window(CheckedRequest request) {
    long elapsedMicros = Math.max(0, request.sentAtMicros - startedAtMicros);
    return (int) Math.min(servedValue.length - 1, elapsedMicros / FleetSimulation.WINDOW_MICROS);
  }

  /** Records that a client timed out without a response. */
  void unanswered(CheckedRequest request, String how) {
    context.trace().record("unanswered", request.id, how);
    countsOf(request.requestClass).unanswered++;
    context.checker().unanswered(request, context.nowMicros(), how);
  }

  /** Records that a connection ended while a request was open. */
  void connectionLost(CheckedRequest request, boolean reset) {
    context.trace().record("lost", request.id, String.valueOf(reset));
    countsOf(request.requestClass).unanswered++;
    if (gateways.get(request.gateway).isKilled() || request.hasNoAttempt()) {
      // The gateway may close an idle connection while the next request is on its way to it; such
      // a request is sent to no host.
      context.checker().exempt(request);
    }
    context
        .checker()
        .unanswered(request, context.nowMicros(), "had no response when its connection ended");
  }

  /** Returns the result of the run up to now. */
  FleetSimulation.Result result() {
    Map<String, FleetSimulation.Worth> byClass = new TreeMap<>();
    double served = 0;
    double due = 0;
    for (RequestClass requestClass : context.requestClasses()) {
      FleetSimulation.Worth worth = countsOf(requestClass).toWorth();
      byClass.put(requestClass.name(), worth);
      double weight = requestClass.priorityWeight();
      served += weight * (worth.onTime() + requestClass.lateValueFraction() * worth.late());
      due += weight * worth.asked();
    }
    return new FleetSimulation.Result(
        context.checker().violations(),
        context.checker().violationCount(),
        byClass,
        due == 0 ? 1 : served / due,
        requestedValue,
        servedValue,
        latencyMicros,
        context.scheduler().scheduledCount(),
        requests,
        context.trace().hash());
  }
}
