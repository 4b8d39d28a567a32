package shelffront.admin;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import shelffront.tenant.ApiKeys;

/**
 * Caches the responses to POST requests that have an Idempotency-Key. A repeated request gets the
 * cached response and is not executed again. Keys are scoped to the caller's token. When the cache
 * is full, the oldest response is evicted. Any thread may call.
 */
final class IdempotencyCache {

  private static final int MAX_RESPONSES = 1000;

  /** Executes a request that has no cached response. */
  interface Call {
    AdminResponse run() throws ProblemException, InterruptedException;
  }

  /** A response, with the path and body hash of its request. */
  private record CachedResponse(String requestFingerprint, AdminResponse response) {}

  private final Map<String, CachedResponse> responses = new LinkedHashMap<>();

  /** Returns the cached response of the request's key; without one, runs the call. */
  AdminResponse respond(String rawPath, AdminRequest request, Call call)
      throws ProblemException, InterruptedException {
    String key = request.header("Idempotency-Key");
    if (!request.isMethod(AdminRequest.POST) || key == null) {
      return call.run();
    }
    if (!key.matches("[ -~]{1,200}")) {
      throw ProblemException.badRequest(
          "Idempotency-Key must have 1 to 200 printable ASCII characters");
    }
    String requestFingerprint = rawPath + " " + Arrays.toString(ApiKeys.hash(request.body()));
    String cacheKey = request.caller().token() + " " + key;
    // Runs one call at a time, so that a concurrent request with the same key finds the response.
    synchronized (responses) {
      CachedResponse cached = responses.get(cacheKey);
      if (cached == null) {
        AdminResponse response = call.run();
        put(cacheKey, new CachedResponse(requestFingerprint, response));
        return response;
      }
      if (!cached.requestFingerprint().equals(requestFingerprint)) {
        throw new ProblemException(
            HttpStatus.UNPROCESSABLE_CONTENT,
            "Key used before",
            "this Idempotency-Key was used before with another path or body");
      }
      return cached.response();
    }
  }

  private void put(String cacheKey, CachedResponse response) {
    responses.put(cacheKey, response);
    if (responses.size() > MAX_RESPONSES) {
      responses.remove(responses.keySet().iterator().next());
    }
  }
}
