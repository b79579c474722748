/** Settings of small deployments in the form of the wire page. */
final class Sites {
  private Sites() {}

  /** As in jhb-orders. */
  static String jhb(int relays) {
    String methods =
        String.join(
            ",",
            Rig.method("menu-read", "read_like", 1500, 6000, 2, 5000),
            Rig.method("order-place", "idempotency_key", 1200, 4000, 5, 4000),
            Rig.method("vendor-payout", "non_idempotent", 2000, 5000, 3, 5000));
    String specifics =
        "{\"api_rate\":200,\"auto_after\":0,\"bake\":2000,\"ballot_ttl\":4000,\"call_timeout\":2000,"
            + "\"caps\":[0.1,0.4,1.0,1.0],\"complaint_share\":0.15,\"counted_over\":3000,\"keys_stay\":false,"
            + "\"noes_needed\":1,\"per\":\"all\",\"push\":4000,\"safe_only_stages\":0,\"sample\":0.4,"
            + "\"shares\":[0.05,0.2,0.5,1.0],\"style\":\"side_by_side\",\"sums_every\":2000,\"to_advance\":1,"
            + "\"uncounted\":3,\"vote_mode\":\"single\",\"votes_to_hold\":0}";
    return Rig.settings(methods, relays, 500, specifics, true, true);
  }

  /** As in ekurhuleni-meals, where keys stay with a build on trial that has answered them. */
  static String ekurhuleni(int relays) {
    String methods =
        String.join(
            ",",
            Rig.method("menu-quote", "read_like", 2000, 6000, 1, 5000),
            Rig.method("roster-update", "read_like", 1200, 5000, 1, 5000),
            Rig.method("delivery-book", "non_idempotent", 1500, 6000, 3, 5000));
    String specifics =
        "{\"api_rate\":120,\"auto_after\":0,\"bake\":2000,\"ballot_ttl\":6000,\"call_timeout\":2000,"
            + "\"caps\":[0.068,0.17,0.42,0.94,1.0],\"complaint_share\":0.3,\"counted_over\":4000,\"keys_stay\":true,"
            + "\"noes_needed\":1,\"per\":\"per_lane\",\"push\":6000,\"safe_only_stages\":0,\"sample\":0.2,"
            + "\"shares\":[0.04,0.1,0.25,0.55,1.0],\"style\":\"side_by_side\",\"sums_every\":1000,\"to_advance\":2,"
            + "\"uncounted\":2,\"vote_mode\":\"majority\",\"votes_to_hold\":0}";
    return Rig.settings(methods, relays, 250, specifics, false, true);
  }
}
