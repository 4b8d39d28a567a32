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

  private static final int MAX_ANSWERS = 1000;

  /** Executes a request that has no cached response. */
  interface Call {
    AdminResponse run() throws ProblemException, InterruptedException;
  }

  /** A response, with the path and body hash of its request. */
  private record CachedAnswer(String asked, AdminResponse answer) {}

  private final Map<String, CachedAnswer> answers = new LinkedHashMap<>();

  /** Returns the cached response of the request's key; without one, runs the call. */
  AdminResponse answer(String rawPath, AdminRequest request, Call call)
      throws ProblemException, InterruptedException {
    String key = request.header("Idempotency-Key");
    if (!request.isMethod(AdminRequest.POST) || key == null) {
      return call.run();
    }
    if (!key.matches("[ -~]{1,200}")) {
      throw ProblemException.badRequest(
          "Idempotency-Key must have 1 to 200 printable ASCII characters");
    }
    String asked = rawPath + " " + Arrays.toString(ApiKeys.hash(request.body()));
    String cacheKey = request.caller().token() + " " + key;
    // Runs one call at a time, so that a concurrent request with the same key finds the response.
    synchronized (answers) {
      CachedAnswer before = answers.get(cacheKey);
      if (before == null) {
        AdminResponse answer = call.run();
        put(cacheKey, new CachedAnswer(asked, answer));
        return answer;
      }
      if (!before.asked().equals(asked)) {
        throw new ProblemException(
            HttpStatus.UNPROCESSABLE_CONTENT,
            "Key used before",
            "this Idempotency-Key was used before with another path or body");
      }
      return before.answer();
    }
  }

  private void put(String cacheKey, CachedAnswer answer) {
    answers.put(cacheKey, answer);
    if (answers.size() > MAX_ANSWERS) {
      answers.remove(answers.keySet().iterator().next());
    }
  }
}
