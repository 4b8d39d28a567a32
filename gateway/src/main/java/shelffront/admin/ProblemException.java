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
  private static final String INVALID_DOCUMENT_TITLE = "Not a valid document";

  private final int status;
  private final String title;
  private final String pointer;
  private final transient ObjectNode currentEntry;

  ProblemException(int status, String title, String detail) {
    this(status, title, detail, null, null);
  }

  ProblemException(
      int status, String title, String detail, String pointer, ObjectNode currentEntry) {
    super(detail);
    this.status = status;
    this.title = title;
    this.pointer = pointer;
    this.currentEntry = currentEntry;
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

  /** A change that expects another revision than the current one; {@code current} may be null. */
  static ProblemException preconditionFailed(String detail, Entry current) {
    return new ProblemException(
        HttpStatus.PRECONDITION_FAILED,
        "Changed meanwhile",
        detail,
        null,
        current == null ? null : TenantJson.of(current));
  }

  /** A field that is not valid, in a document that could be parsed. */
  static ProblemException invalidField(String pointer, String detail) {
    return new ProblemException(
        HttpStatus.UNPROCESSABLE_CONTENT, INVALID_DOCUMENT_TITLE, detail, pointer, null);
  }

  static ProblemException invalid(SpecException failure) {
    boolean json = !failure.getMessage().startsWith("not JSON");
    return new ProblemException(
        json ? HttpStatus.UNPROCESSABLE_CONTENT : HttpStatus.BAD_REQUEST,
        INVALID_DOCUMENT_TITLE,
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
    if (currentEntry != null) {
      body.set("present", currentEntry);
    }
    return body;
  }
}
