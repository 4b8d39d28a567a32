package shelffront.pg;

/** The SQLSTATEs that the gateway sends to clients or recognizes from hosts. */
public enum SqlState {
  PROTOCOL_VIOLATION("08P01"),
  FEATURE_NOT_SUPPORTED("0A000"),
  /** From a host that is not the primary. */
  READ_ONLY_SQL_TRANSACTION("25006"),
  INVALID_CATALOG_NAME("3D000"),
  STATEMENT_COMPLETION_UNKNOWN("40003"),
  SYNTAX_ERROR("42601"),
  DUPLICATE_OBJECT("42710"),
  OUT_OF_MEMORY("53200"),
  TOO_MANY_CONNECTIONS("53300"),
  PROGRAM_LIMIT_EXCEEDED("54000"),
  CANNOT_CONNECT_NOW("57P03"),
  /** From a host that has not applied the position required by the read. */
  SNAPSHOT_TOO_OLD("72000");

  private final String code;

  SqlState(String code) {
    this.code = code;
  }

  /** The five-character code on the wire. */
  public String code() {
    return code;
  }
}
