package shelffront.net;

/** Takes the program's lines, one event each. Called by the loop thread, so it must not block. */
public interface EventLog {

  void println(Object line);
}
