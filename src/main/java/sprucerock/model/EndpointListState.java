package sprucerock.model;

/** What is known of the endpoint list that a relay acts on. */
public enum EndpointListState {
  /**
   * The list dates from before the relay's start, or from another discovery address, and discovery
   * has not been heard since: endpoints that it names as ready may be draining or gone.
   */
  UNCONFIRMED,

  /** Discovery has sent the list, or the changes to it. */
  CONFIRMED
}
