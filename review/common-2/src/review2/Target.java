package review2;

/** What clients connect to. */
interface Target {

  int port();
}
