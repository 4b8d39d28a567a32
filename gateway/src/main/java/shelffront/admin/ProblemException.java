package shelffront.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import shelffront.store.DocumentStore.Entry;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * An answer that is an error, as RFC 9457 words it; the pointer (RFC 6901) names the field at
 * fault, if one is.
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

  /** The same for what does not exist and for what is another's. */
  static ProblemException notFound() {
    return new ProblemException(HttpStatus.NOT_FOUND, "Not found", "there is nothing here");
  }

  static ProblemException badRequest(String detail) {
    return new ProblemException(HttpStatus.BAD_REQUEST, "Bad request", detail);
  }

  static ProblemException methodNotAllowed() {
    return new ProblemException(
        HttpStatus.METHOD_NOT_ALLOWED, "Method not allowed", "this path does not take this method");
  }

  /** A change of another revision than the present one; null where there is none. */
  static ProblemException changedMeanwhile(String detail, Entry present) {
    return new ProblemException(
        HttpStatus.PRECONDITION_FAILED,
        "Changed meanwhile",
        detail,
        null,
        present == null ? null : TenantJson.of(present));
  }

  /** A field of a document that is JSON, but not valid. */
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
