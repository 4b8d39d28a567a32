package shelffront.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import shelffront.tenant.TenantSpecCodec;

/**
 * An answer that is an error, as RFC 9457 words it; the pointer (RFC 6901) names the field at
 * fault, if one is.
 */
final class ProblemException extends Exception {

  private static final long serialVersionUID = 1L;

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
    return new ProblemException(404, "Not found", "there is nothing here");
  }

  static ProblemException invalid(TenantSpecCodec.SpecException e) {
    return new ProblemException(
        e.getMessage().startsWith("not JSON") ? 400 : 422,
        "Not a valid document",
        e.getMessage(),
        e.pointer(),
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
