package shelffront.simulator;

import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;
import shelffront.routing.EndpointUpdateKind;
import shelffront.routing.LoadReport;
import shelffront.routing.Request;

/** A decoded event for a running instance. Times are in microseconds. */
sealed interface SimulatorEvent {

  /** An endpoint update; its endpoints are those of an earlier catalog row with the list number. */
  record EndpointUpdate(EndpointUpdateKind kind, long version, long listNumber)
      implements SimulatorEvent {}

  /** A client's request has arrived. */
  record RequestArrived(Request request) implements SimulatorEvent {}

  /** An attempt has ended. */
  record AttemptEnded(AttemptOutcome outcome) implements SimulatorEvent {}

  /** A health check has ended; the load report is null if the endpoint sent none. */
  record HealthCheckEnded(
      String endpointId, AttemptStatus status, long elapsedMicros, LoadReport loadReport)
      implements SimulatorEvent {}

  /** A timer of the instance has expired. */
  record TimerExpired(String name) implements SimulatorEvent {}

  /** The client of a request has disconnected. */
  record ClientDisconnected(String requestId) implements SimulatorEvent {}

  /** Another gateway of the fleet sent a message. */
  record PeerMessage(int fromGateway, byte[] payload) implements SimulatorEvent {}

  /** An event that the decision module does not need. */
  record Ignored() implements SimulatorEvent {}
}
