"""What several tests share."""
