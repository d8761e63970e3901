package lemondock.faultinjection;

/** A rule that was broken, and how. */
record Breach(Rule rule, String description) {}
