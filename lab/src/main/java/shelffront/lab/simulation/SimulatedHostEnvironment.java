package shelffront.lab.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import shelffront.lab.emulator.HostEnvironment;
import shelffront.lab.invariants.Attempt;
import shelffront.lab.invariants.Rule;
import shelffront.lab.model.Clock;
import shelffront.lab.model.ReplicaSetModel.Answer;
import shelffront.lab.model.ReplicaSetModel.AnswerKind;
import shelffront.lab.model.ReplicaSetModel.Host;
import shelffront.lab.model.ReplicaSetModel.Query;
import shelffront.lab.transport.TransportConnection;
import shelffront.lab.virtual.SimulatedSocket;
import shelffront.pg.ProtocolException;
import shelffront.pg.Statement;
import shelffront.routing.Consistency;
import shelffront.routing.LoadReportSource;
import shelffront.routing.RequestClass;

/**
 * The environment of emulated hosts in a simulation: provides request classes and response faults,
 * and reports each attempt to the invariant checker.
 */
final class SimulatedHostEnvironment implements HostEnvironment {

  private static final long MICROS_PER_MILLI = 1_000;
  private static final int CORRUPT_ONE_IN = 4;

  private final SimulationContext context;
  private final GatewayFleet gateways;
  private final RoleAnnouncements announcements;
  private final Map<String, Long> corruptUntilMicros = new HashMap<>();
  private final Map<String, Attempt> lastAttempts = new HashMap<>();
  private boolean unknownClients;

  SimulatedHostEnvironment(
      SimulationContext context, GatewayFleet gateways, RoleAnnouncements announcements) {
    this.context = context;
    this.gateways = gateways;
    this.announcements = announcements;
  }

  /** Makes one in four responses of a host malformed for {@code durationMicros}. */
  void corruptAnswers(Host host, long durationMicros) {
    corruptUntilMicros.put(host.id(), context.nowMicros() + durationMicros);
  }

  /** From now on, requests of clients unknown to the checker are no violation. */
  void expectUnknownClients() {
    unknownClients = true;
  }

  /** Returns the attempt of a request that arrived last, or null if there is none. */
  Attempt lastAttempt(String requestId) {
    return lastAttempts.get(requestId);
  }

  @Override
  public Clock clock() {
    return context.scheduler();
  }

  @Override
  public long handshakeMicros() {
    return context.scenario().figures().handshake();
  }

  @Override
  public Query parse(Statement statement, String text) throws ProtocolException {
    RequestClass requestClass = context.requestClass(statement.value("c"));
    return new Query(
        statement.value("id"),
        statement.value("k"),
        statement.key(),
        requestClass.isWrite(),
        requestClass.consistency() == Consistency.STRONG,
        requestClass.maxStalenessMicros(),
        context.nowMicros() + statement.number("d", 0) * MICROS_PER_MILLI);
  }

  @Override
  public Consumer<Answer> attemptArrived(Host host, TransportConnection from, Query query) {
    if (unknownClients && context.checker().gatewayOf(query.id()) < 0) {
      return answer -> {}; // sent by a misbehaving client
    }
    SimulatedSocket gateway = ((SimulatedSocket) from).peer();
    Attempt attempt =
        context
            .checker()
            .attemptArrived(
                query.id(),
                host.id(),
                context.nowMicros(),
                gateway.lastWriteMicros(),
                gateway::closedAtMicros);
    lastAttempts.put(query.id(), attempt);
    context.trace().record("attempt", query.id());
    return answer -> {
      attempt.answered(
          context.nowMicros(),
          answer.kind() == AnswerKind.FULL || answer.kind() == AnswerKind.MISS);
      context.trace().record("answer", host.id(), query.id(), answer.kind().name());
    };
  }

  @Override
  public void replicaRoleSent(Host host, TransportConnection connection) {
    Integer gateway = gateways.indexOf(((SimulatedSocket) connection).peer().machine());
    if (gateway != null) {
      announcements.announced(gateway, host.id(), context.nowMicros());
    }
  }

  @Override
  public boolean sendsPositions() {
    return context.scenario().deployment().stamped();
  }

  @Override
  public boolean sendsLoadReports() {
    return context.scenario().deployment().reports() == LoadReportSource.RESPONSES;
  }

  @Override
  public boolean corruptsAnswer(Host host) {
    return corruptUntilMicros.getOrDefault(host.id(), 0L) > context.nowMicros()
        && context.random().nextInt(CORRUPT_ONE_IN) == 0;
  }

  @Override
  public boolean isSilent(Host host) {
    return false;
  }

  @Override
  public void malformedRequest(Host host, ProtocolException why) {
    context
        .checker()
        .recordViolation(
            context.nowMicros(),
            Rule.RIGHT_VALUE,
            "malformed request to " + host.id() + ": " + why.getMessage());
  }

  @Override
  public void connectionEnded(Host host) {
    context.trace().record("left", host.id());
  }
}
