package shelffront.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.Headers;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shelffront.admin.AdminTokens.Caller;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * An authenticated request to the administration API.
 *
 * @param path the path segments after {@code /v1/}; the first names the resource
 * @param query the raw query string; null if the request has none
 */
record AdminRequest(
    Caller caller, String method, List<String> path, String query, Headers headers, byte[] body) {

  static final String GET = "GET";
  static final String POST = "POST";
  static final String PUT = "PUT";
  static final String DELETE = "DELETE";

  boolean isMethod(String name) {
    return method.equals(name);
  }

  void requireMethod(String allowed) throws ProblemException {
    if (!method.equals(allowed)) {
      throw ProblemException.methodNotAllowed();
    }
  }

  /** Throws 404, not 403, so that tenant administrators do not learn of operators' resources. */
  void requireOperator() throws ProblemException {
    if (!caller.isOperator()) {
      throw ProblemException.notFound();
    }
  }

  /** Returns the first value of a header, or null if the request does not have it. */
  String header(String name) {
    return headers.getFirst(name);
  }

  JsonNode document() throws SpecException {
    return TenantSpecCodec.parse(body);
  }

  String queryText(String name, String defaultValue) {
    return queryValues().getOrDefault(name, defaultValue);
  }

  long queryNumber(String name, long defaultValue) throws ProblemException {
    String value = queryValues().get(name);
    if (value != null && !value.matches("[0-9]{1,18}")) {
      throw ProblemException.badRequest(
          "query parameter " + name + " is not a whole number of at most 18 digits");
    }
    return value == null ? defaultValue : Long.parseLong(value);
  }

  private Map<String, String> queryValues() {
    Map<String, String> values = new HashMap<>();
    if (query != null) {
      for (String part : query.split("&")) {
        int equals = part.indexOf('=');
        if (equals > 0) {
          values.put(part.substring(0, equals), part.substring(equals + 1));
        }
      }
    }
    return values;
  }
}
