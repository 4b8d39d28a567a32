package shelffront.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import shelffront.store.DocumentStore.Entry;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * An error response in the format of RFC 9457. The pointer (RFC 6901) names the invalid field; it
 * is null if the error does not concern a field.
 */
final class ProblemException extends Exception {

  private static final long serialVersionUID = 1L;
  private static final String NOT_VALID = "Not a valid document";

  private final int status;
  private final String title;
  private final String pointer;
  private final transient ObjectNode present;

  ProblemException(int status, String title, String detail) {
    this(status, title, detail, null, null);
  }

  ProblemException(int status, String title, String detail, String pointer, ObjectNode present) {
    super(detail);
    this.status = status;
    this.title = title;
    this.pointer = pointer;
    this.present = present;
  }

  /** Used for missing resources and for those of other tenants, so that callers cannot tell. */
  static ProblemException notFound() {
    return new ProblemException(HttpStatus.NOT_FOUND, "Not found", "no such resource");
  }

  static ProblemException badRequest(String detail) {
    return new ProblemException(HttpStatus.BAD_REQUEST, "Bad request", detail);
  }

  static ProblemException methodNotAllowed() {
    return new ProblemException(
        HttpStatus.METHOD_NOT_ALLOWED,
        "Method not allowed",
        "the resource does not support this method");
  }

  /** A change that expects another revision than the current one; {@code present} may be null. */
  static ProblemException changedMeanwhile(String detail, Entry present) {
    return new ProblemException(
        HttpStatus.PRECONDITION_FAILED,
        "Changed meanwhile",
        detail,
        null,
        present == null ? null : TenantJson.of(present));
  }

  /** A field that is not valid, in a document that could be parsed. */
  static ProblemException invalidField(String pointer, String detail) {
    return new ProblemException(HttpStatus.UNPROCESSABLE_CONTENT, NOT_VALID, detail, pointer, null);
  }

  static ProblemException invalid(SpecException failure) {
    boolean json = !failure.getMessage().startsWith("not JSON");
    return new ProblemException(
        json ? HttpStatus.UNPROCESSABLE_CONTENT : HttpStatus.BAD_REQUEST,
        NOT_VALID,
        failure.getMessage(),
        failure.pointer(),
        null);
  }

  int status() {
    return status;
  }

  ObjectNode body() {
    ObjectNode body =
        TenantSpecCodec.JSON
            .createObjectNode()
            .put("type", "about:blank")
            .put("title", title)
            .put("status", status)
            .put("detail", getMessage());
    if (pointer != null) {
      body.putArray("errors").addObject().put("pointer", pointer).put("detail", getMessage());
    }
    if (present != null) {
      body.set("present", present);
    }
    return body;
  }
}
