package shelffront.admin;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import shelffront.tenant.ApiKeys;

/**
 * The answers of POST requests that came with an Idempotency-Key: a repeat gets the first one's
 * answer and changes nothing. Keys are a token's own. The oldest answers go first. Any thread may
 * call.
 */
final class IdempotencyCache {

  private static final int MAX_ANSWERS = 1000;

  /** Carries out a request that has no answer yet. */
  interface Call {
    AdminResponse run() throws ProblemException, InterruptedException;
  }

  /** An answer, and what was asked. */
  private record CachedAnswer(String asked, AdminResponse answer) {}

  private final Map<String, CachedAnswer> answers = new LinkedHashMap<>();

  /** Gives the answer that the key had before, or that of the call. */
  AdminResponse answer(String rawPath, AdminRequest request, Call call)
      throws ProblemException, InterruptedException {
    String key = request.header("Idempotency-Key");
    if (!request.isMethod(AdminRequest.POST) || key == null) {
      return call.run();
    }
    if (!key.matches("[ -~]{1,200}")) {
      throw ProblemException.badRequest("Idempotency-Key is 1 to 200 printable characters");
    }
    String asked = rawPath + " " + Arrays.toString(ApiKeys.hash(request.body()));
    String cacheKey = request.caller().token() + " " + key;
    // One call at a time: the second of two with one key finds the first's answer.
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
            "this Idempotency-Key came with another request");
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
