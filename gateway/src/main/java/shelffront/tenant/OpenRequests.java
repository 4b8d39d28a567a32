package shelffront.tenant;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import shelffront.request.ClientRequest;
import shelffront.routing.RequestClass;

/**
 * The admitted requests of one tenant. Each request is completed exactly once and is kept until its
 * last attempt has ended, because the router must receive the outcome of every attempt. Confined to
 * the event loop.
 */
final class OpenRequests {

  private final RequestAdmission admission;
  private final Map<String, ClientRequest> requestsById = new HashMap<>();

  OpenRequests(RequestAdmission admission) {
    this.admission = admission;
  }

  void add(ClientRequest request) {
    requestsById.put(request.id, request);
  }

  /** Returns the open request with this id, or null if there is none. */
  ClientRequest get(String requestId) {
    return requestsById.get(requestId);
  }

  boolean contains(String requestId) {
    return requestsById.containsKey(requestId);
  }

  int size() {
    return requestsById.size();
  }

  boolean isEmpty() {
    return requestsById.isEmpty();
  }

  boolean areAllCompleted() {
    return requestsById.values().stream().allMatch(request -> request.completed);
  }

  void clear() {
    requestsById.clear();
  }

  /** Completes the request with this id. Does nothing if it is not open or already completed. */
  void completeIfOpen(String requestId, Consumer<ClientRequest.ResponseListener> response) {
    ClientRequest request = requestsById.get(requestId);
    if (request != null && !request.completed) {
      request.completed = true;
      complete(request, response);
    }
  }

  /**
   * Delivers the final response of a request that the caller has marked as completed. All final
   * responses pass through this method, which also releases the request's place in the quota.
   */
  void complete(ClientRequest request, Consumer<ClientRequest.ResponseListener> response) {
    admission.release();
    response.accept(request.responseListener);
    removeIfFinished(request);
  }

  /**
   * Completes every open request: with the rejection if it is safe to repeat, as failed otherwise.
   *
   * @param onAborted receives the id of each request before its response is delivered
   */
  void abortAll(
      List<RequestClass> requestClasses,
      Consumer<String> onAborted,
      Consumer<ClientRequest.ResponseListener> rejection) {
    for (ClientRequest request : List.copyOf(requestsById.values())) {
      if (!request.completed) {
        request.completed = true;
        onAborted.accept(request.id);
        boolean safeToRepeat =
            request.attempts.isEmpty() || requestClasses.get(request.classIndex).isIdempotent();
        complete(request, safeToRepeat ? rejection : ClientRequest.ResponseListener::onFailed);
      }
    }
  }

  /** Removes a request that is completed and has no outstanding attempt. */
  void removeIfFinished(ClientRequest request) {
    if (request.completed && request.attempts.stream().noneMatch(attempt -> attempt.outstanding)) {
      requestsById.remove(request.id, request);
    }
  }
}
