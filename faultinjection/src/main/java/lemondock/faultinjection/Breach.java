package lemondock.faultinjection;

/** A violation of a rule, with a description for the report. */
record Breach(Rule rule, String description) {}
