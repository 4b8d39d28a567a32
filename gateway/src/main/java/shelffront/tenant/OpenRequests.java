package shelffront.tenant;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import shelffront.request.ClientRequest;

/**
 * The admitted requests of one tenant. A request is answered once, and is kept until its last
 * attempt has ended too: the router is owed every outcome. On the loop thread.
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

  /** The request of an id; null where none is open. */
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

  boolean areAllAnswered() {
    return requestsById.values().stream().allMatch(request -> request.answered);
  }

  /** A copy, so that requests may end while it is gone through. */
  List<ClientRequest> copy() {
    return List.copyOf(requestsById.values());
  }

  void clear() {
    requestsById.clear();
  }

  /** Answers the request of an id, if it is open and has no answer yet. */
  void answer(String requestId, Consumer<ClientRequest.ResponseListener> answer) {
    ClientRequest request = requestsById.get(requestId);
    if (request != null && !request.answered) {
      request.answered = true;
      complete(request, answer);
    }
  }

  /**
   * Gives the answer of a request that is marked as answered. The one place where an answer leaves;
   * the request's place in the quota is free from here.
   */
  void complete(ClientRequest request, Consumer<ClientRequest.ResponseListener> answer) {
    admission.release();
    answer.accept(request.responseListener);
    removeIfFinished(request);
  }

  /** Removes a request that is answered and has no attempt out. */
  void removeIfFinished(ClientRequest request) {
    if (request.answered && request.attempts.stream().noneMatch(attempt -> attempt.outstanding)) {
      requestsById.remove(request.id, request);
    }
  }
}
