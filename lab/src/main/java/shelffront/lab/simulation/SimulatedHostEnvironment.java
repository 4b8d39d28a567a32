package shelffront.lab.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import shelffront.lab.emulator.HostEnvironment;
import shelffront.lab.invariants.InvariantChecker;
import shelffront.lab.invariants.InvariantChecker.Rule;
import shelffront.lab.model.Clock;
import shelffront.lab.model.ReplicaSetModel.Answer;
import shelffront.lab.model.ReplicaSetModel.Box;
import shelffront.lab.model.ReplicaSetModel.Kind;
import shelffront.lab.model.ReplicaSetModel.Query;
import shelffront.lab.transport.TransportConnection;
import shelffront.lab.virtual.SimulatedSocket;
import shelffront.pg.ProtocolException;
import shelffront.pg.Statement;
import shelffront.routing.Consistency;
import shelffront.routing.LoadReportSource;
import shelffront.routing.RequestClass;

/**
 * What emulated hosts find in a simulation: the classes of requests, the faults of their answers,
 * and the checker, which is told of each attempt.
 */
final class SimulatedHostEnvironment implements HostEnvironment {

  private static final long MICROS_PER_MILLI = 1_000;
  private static final int CORRUPT_ONE_IN = 4;

  private final SimulationContext context;
  private final GatewayFleet gateways;
  private final RoleAnnouncements announcements;
  private final Map<String, Long> corruptUntilMicros = new HashMap<>();
  private final Map<String, InvariantChecker.Try> lastAttempts = new HashMap<>();
  private boolean unknownClients;

  SimulatedHostEnvironment(
      SimulationContext context, GatewayFleet gateways, RoleAnnouncements announcements) {
    this.context = context;
    this.gateways = gateways;
    this.announcements = announcements;
  }

  /** From now on some answers of a host are malformed, for a while. */
  void corruptAnswers(Box host, long durationMicros) {
    corruptUntilMicros.put(host.id(), context.now() + durationMicros);
  }

  /** From now on requests may come of clients that the checker does not know. */
  void expectUnknownClients() {
    unknownClients = true;
  }

  /** The attempt of a request that arrived last; null where none is known. */
  InvariantChecker.Try lastAttempt(String requestId) {
    return lastAttempts.get(requestId);
  }

  @Override
  public Clock clock() {
    return context.scheduler();
  }

  @Override
  public long handshake() {
    return context.scenario().figures().handshake();
  }

  @Override
  public Query query(Statement statement, String text) throws ProtocolException {
    RequestClass requestClass = context.requestClass(statement.value("c"));
    return new Query(
        statement.value("id"),
        statement.value("k"),
        statement.key(),
        requestClass.isWrite(),
        requestClass.consistency() == Consistency.STRONG,
        requestClass.maxStalenessMicros(),
        context.now() + statement.number("d", 0) * MICROS_PER_MILLI);
  }

  @Override
  public Consumer<Answer> arrived(Box host, TransportConnection from, Query query) {
    if (unknownClients && context.checker().gatewayOf(query.id()) < 0) {
      return answer -> {}; // of a client that does not keep to the protocol
    }
    SimulatedSocket gateway = ((SimulatedSocket) from).other();
    InvariantChecker.Try attempt =
        context
            .checker()
            .arrives(query.id(), host.id(), context.now(), gateway.writtenAt(), gateway::overAt);
    lastAttempts.put(query.id(), attempt);
    context.trace().record("attempt", query.id());
    return answer -> {
      attempt.answered(context.now(), answer.kind() == Kind.FULL || answer.kind() == Kind.MISS);
      context.trace().record("answer", host.id(), query.id(), answer.kind().name());
    };
  }

  @Override
  public void tellsReplica(Box host, TransportConnection to) {
    Integer gateway = gateways.indexOf(((SimulatedSocket) to).other().machine());
    if (gateway != null) {
      announcements.announced(gateway, host.id(), context.now());
    }
  }

  @Override
  public boolean stamps() {
    return context.scenario().deployment().stamped();
  }

  @Override
  public boolean reports() {
    return context.scenario().deployment().reports() == LoadReportSource.RESPONSES;
  }

  @Override
  public boolean spoils(Box host) {
    return corruptUntilMicros.getOrDefault(host.id(), 0L) > context.now()
        && context.random().nextInt(CORRUPT_ONE_IN) == 0;
  }

  @Override
  public boolean silent(Box host) {
    return false;
  }

  @Override
  public void malformed(Box host, ProtocolException why) {
    context
        .checker()
        .violated(context.now(), Rule.RIGHT_VALUE, "to " + host.id() + ": " + why.getMessage());
  }

  @Override
  public void left(Box host) {
    context.trace().record("left", host.id());
  }
}
