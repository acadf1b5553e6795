/// Declares every message of the project, with the derives they all share.
/// Fields carry explicit numbers, so an older node skips what it doesn't know.
#[macro_export]
macro_rules! messages {
    ($($it:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, minicbor::Encode, minicbor::Decode)]
            $it
        )*
    };
}
